package wharfserver

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharf/wharfsocket/wharfmemnet"
	"ragwortwharf.dev/wharfnode/internal/wharftest"
)

const (
	// changeBound is the time in which a change of the configuration must be in
	// force on every node while the log serves all of them.
	changeBound = 2 * time.Second
	// disruptedChangeBound is the same while the log refuses some nodes.
	disruptedChangeBound = 7 * time.Second
)

func classDocument(name string, rank int) wharfconfig.Document {
	return wharfconfig.Document{Kind: wharfconfig.KindClass, Name: name, Rank: rank}
}

// TestConfigurationWithoutReaders cuts all readers of all failure domains off from the
// log. The other nodes must notice that and read a later change themselves.
func TestConfigurationWithoutReaders(t *testing.T) {
	wharfmemnet.RunInBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newTestCluster(t)
		for _, domain := range []string{"domain-a", "domain-a", "domain-a", "domain-a", "domain-b", "domain-b", "domain-b"} {
			c.startNode(domain)
		}
		c.log.publish(t, "first", classDocument("one", 1))
		wharftest.Eventually(t, "the first change is in force everywhere", func() bool { return allNodesHaveClass(c, "one", 1) })
		wharftest.Eventually(t, "all nodes know each other", func() bool { return allNodesKnow(c, len(c.nodes)) })
		var readers []string
		for _, n := range c.nodes {
			readers = append(readers, n.agent.ReaderNodes()...)
		}
		for _, n := range c.nodes {
			if slices.Contains(readers, n.view.Node()) {
				n.logLink.setDown(true)
			}
		}
		published := time.Now()
		c.log.publish(t, "second", classDocument("two", 2))
		wharftest.Eventually(t, "the second change is in force everywhere", func() bool { return allNodesHaveClass(c, "two", 2) })
		is.True(time.Since(published) < disruptedChangeBound)
	})
}

// TestLargeChangeReachesEachNode publishes records of several kilobytes, which most
// nodes of a large failure domain get only by gossip.
func TestLargeChangeReachesEachNode(t *testing.T) {
	wharfmemnet.RunInBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newTestCluster(t)
		const nodes = 16
		for range nodes {
			c.startNode("domain-a")
		}
		wharftest.Eventually(t, "all nodes know each other", func() bool { return allNodesKnow(c, nodes) })
		for i, name := range []string{"one", "two", "three", "four"} {
			documents := []wharfconfig.Document{classDocument(name, i+1)}
			for j := range 100 {
				documents = append(documents, classDocument(strings.Repeat("x", 50)+"-"+name+"-"+strconv.Itoa(j), i+1))
			}
			published := time.Now()
			c.log.publish(t, name, documents...)
			wharftest.Eventually(t, "the change is in force everywhere", func() bool { return allNodesHaveClass(c, name, i+1) })
			is.True(time.Since(published) < changeBound)
		}
	})
}

// allNodesKnow reports whether every node knows a number of nodes.
func allNodesKnow(c *testCluster, count int) bool {
	for _, n := range c.nodes {
		if n.view.KnownNodes() != count {
			return false
		}
	}
	return true
}
