package wharfserver

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/internal/wharftest"
)

// TestFailedReadIsRetriedElsewhere guards against a failed read when one of two
// targets refuses connections and the other one can serve the read.
func TestFailedReadIsRetriedElsewhere(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	dead := httptest.NewServer(http.HandlerFunc(hello))
	address := strings.TrimPrefix(dead.URL, "http://")
	dead.Close()
	n := c.startNode("domain-a")
	c.announce(n, "reads", address)
	c.startTarget(c.startNode("domain-a"), "reads", hello)
	for range 10 {
		is.Equal(n.send(request{service: "reads"}).status, 200)
	}
}

// TestRefusalAfterLostResponseIsUnknown guards against the outcome "not-run"
// for a request that may have run. The first target runs it, but its node is
// disconnected before it responds. The second target refuses the retry.
func TestRefusalAfterLostResponseIsUnknown(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	sender := c.startNode("domain-b")
	var arrivals atomic.Int32
	for range 2 {
		n := c.startNode("domain-a")
		c.startTarget(n, "reads", func(w http.ResponseWriter, _ *http.Request) {
			if arrivals.Add(1) == 1 {
				n.link.setDown(true)
				return
			}
			w.Header().Set(wharfwire.HeaderOutcome, "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
	}
	got := sender.send(request{service: "reads"})
	is.Equal(arrivals.Load(), int32(2))
	is.Equal(got.outcome, "unknown")
}

// TestAttemptsStayBoundedOverChain guards against retries that multiply over a
// chain of services. The last of three services refuses every request, and each
// node retries as often as the request's attempts allow.
func TestAttemptsStayBoundedOverChain(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	const attempts = 10
	limit := attempts
	c.log.publish(t, "c", wharfconfig.Document{Kind: wharfconfig.KindDefaults, Name: wharfconfig.DefaultsName, Attempts: &limit})
	var arrivals atomic.Int32
	chain := []string{"front", "middle", "deep"}
	for range 2 {
		for i, service := range chain {
			n := c.startNode("domain-a")
			c.startTarget(n, service, func(w http.ResponseWriter, r *http.Request) {
				arrivals.Add(1)
				if i+1 == len(chain) {
					w.Header().Set(wharfwire.HeaderOutcome, "not-run")
					w.Header().Set(wharfwire.HeaderReason, "leaving")
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				// The service repeats its failed calls, as a client with its
				// own retries does.
				for range 20 {
					downstream := n.send(request{service: chain[i+1], headers: [][2]string{
						{wharfwire.HeaderContext, r.Header.Get(wharfwire.HeaderContext)},
					}})
					if downstream.status == 200 {
						return
					}
				}
				w.WriteHeader(http.StatusBadGateway)
			})
		}
	}
	wharftest.Eventually(t, "the configuration is in force", func() bool { return c.nodes[0].view.Config().Offset() > 0 })
	got := c.nodes[0].send(request{service: "front"})
	is.True(got.status != 200)
	is.True(arrivals.Load() > 2)
	is.True(arrivals.Load() <= attempts)
}

// TestLeavingTargetGetsNoNewRequests makes a target leave in each possible way
// while a request is in flight there. It guards against new requests that reach
// the target after the other node knows that the target is leaving, and against
// an abort of the request in flight.
func TestLeavingTargetGetsNoNewRequests(t *testing.T) {
	leave := true
	tests := []struct {
		name         string
		startLeaving func(t *testing.T, c *testCluster, n *testNode, address string)
	}{
		{"request to its node", func(t *testing.T, _ *testCluster, n *testNode, address string) {
			r, _ := http.NewRequest(http.MethodDelete, n.admin+"/wharf/v1/targets?address="+address, http.NoBody)
			response, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
		}},
		{"label and selector", func(t *testing.T, c *testCluster, _ *testNode, address string) {
			c.log.publish(t, "leave",
				wharfconfig.Document{Kind: wharfconfig.KindTargetRule, Name: "out", Selector: "state=out", Leaving: &leave},
				wharfconfig.Document{Kind: wharfconfig.KindTargetLabel, Name: address, Target: address, Labels: map[string]string{"state": "out"}})
		}},
		{"planned stop of its node", func(_ *testing.T, _ *testCluster, n *testNode, _ string) { n.stop() }},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := newTestCluster(t)
			staying, leaving := c.startNode("domain-a"), c.startNode("domain-a")
			entered, release := make(chan struct{}), make(chan struct{})
			var lateArrivals atomic.Int32
			var announcedLeaving atomic.Bool
			server := c.startTarget(leaving, "reads", func(w http.ResponseWriter, _ *http.Request) {
				if announcedLeaving.Load() {
					lateArrivals.Add(1)
				}
				select {
				case entered <- struct{}{}:
				default:
				}
				<-release
				_, _ = io.WriteString(w, "from the leaving one")
			})
			done := make(chan reply)
			go func() { done <- staying.send(request{service: "reads"}) }()
			<-entered
			c.startTarget(staying, "reads", hello)
			address := strings.TrimPrefix(server.URL, "http://")
			tc.startLeaving(t, c, leaving, address)
			wharftest.Eventually(t, "the other node knows that the target is leaving", func() bool {
				for _, target := range staying.view.Targets("reads") {
					if target.Address == address {
						return target.Leaving
					}
				}
				return true
			})
			announcedLeaving.Store(true)
			for range 20 {
				is.Equal(staying.send(request{service: "reads"}).body, "hello")
			}
			is.Equal(lateArrivals.Load(), int32(0))
			close(release)
			is.Equal((<-done).body, "from the leaving one") // the request in flight was not aborted
		})
	}
}

// TestPlannedStopAbortsNoCall guards against a planned stop that aborts the
// calls of callers that are connected to the stopped node.
func TestPlannedStopAbortsNoCall(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	first, second := c.startNode("domain-a"), c.startNode("domain-a")
	c.startTarget(second, "reads", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(200 * time.Millisecond)
		hello(w, r)
	})
	const calls = 4 // as many as a new target runs at a time
	replies := make(chan reply, calls)
	for range calls {
		go func() { replies <- first.send(request{service: "reads"}) }()
	}
	wharftest.Eventually(t, "calls are in flight", func() bool { return first.proxy.InFlight() == calls })
	first.stop() // the callers are connected to this node
	for range calls {
		is.Equal((<-replies).body, "hello")
	}
	<-first.ended
}

// TestConfigurationReachesEachDomain guards against a configuration change that
// some nodes miss because of a disruption of the log or of a node that reads
// the log.
func TestConfigurationReachesEachDomain(t *testing.T) {
	class := func(name string, rank int) wharfconfig.Document {
		return wharfconfig.Document{Kind: wharfconfig.KindClass, Name: name, Rank: rank}
	}
	tests := []struct {
		name    string
		disrupt func(c *testCluster)
		restore func(c *testCluster)
	}{
		{"no disruption", func(*testCluster) {}, func(*testCluster) {}},
		{"log down when the change is appended", func(c *testCluster) { c.log.down.Store(true) }, func(c *testCluster) { c.log.down.Store(false) }},
		{"log slow", func(c *testCluster) { c.log.delayMs.Store(700) }, func(*testCluster) {}},
		{"a reader stops", func(c *testCluster) {
			c.nodes[0].stop()
			<-c.nodes[0].ended
			c.nodes = c.nodes[1:]
		}, func(*testCluster) {}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestCluster(t)
			for _, domain := range []string{"domain-a", "domain-a", "domain-a", "domain-b", "domain-b", "domain-b"} {
				c.startNode(domain)
			}
			c.log.publish(t, "first", class("one", 1))
			wharftest.Eventually(t, "the first change is in force everywhere", func() bool { return allNodesHaveClass(c, "one", 1) })
			tc.disrupt(c)
			c.log.publish(t, "second", class("two", 2))
			tc.restore(c)
			wharftest.Eventually(t, "the second change is in force everywhere", func() bool { return allNodesHaveClass(c, "two", 2) })
		})
	}
}

// allNodesHaveClass reports whether the configuration of every node gives the
// class this rank.
func allNodesHaveClass(c *testCluster, class string, rank int) bool {
	for _, n := range c.nodes {
		if n.view.Config().Class(class).Rank != rank {
			return false
		}
	}
	return true
}

// TestNodeStartsWithLogDown starts a node while the log is down. The node must
// get its state from the other nodes, and serve callers.
func TestNodeStartsWithLogDown(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	c.startTarget(c.startNode("domain-a"), "reads", hello)
	c.log.publish(t, "first", wharfconfig.Document{Kind: wharfconfig.KindClass, Name: "one", Rank: 1})
	wharftest.Eventually(t, "the change is in force", func() bool { return allNodesHaveClass(c, "one", 1) })
	c.log.down.Store(true)
	joiner := c.startNode("domain-b")
	wharftest.Eventually(t, "the new node has the state", func() bool { return allNodesHaveClass(c, "one", 1) })
	wharftest.Eventually(t, "the new node serves", func() bool { return joiner.send(request{service: "reads"}).status == 200 })
	is.Equal(joiner.view.State().Offset(), c.nodes[0].view.State().Offset())
}

// TestStateSurvivesLogRetention guards against the loss of state whose log
// records have expired. All records before a snapshot expire, and a node
// without seeds must restore the state from the snapshot.
func TestStateSurvivesLogRetention(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	c.snapshotInterval = time.Second
	n := c.startNode("domain-a")
	c.log.publish(t, "first", wharfconfig.Document{Kind: wharfconfig.KindClass, Name: "one", Rank: 1})
	wharftest.Eventually(t, "a snapshot is in the log", func() bool { return n.view.State().SnapshotOffset() > 0 })
	n.stop()
	<-n.ended
	c.nodes = nil
	c.log.expireBefore(n.view.State().SnapshotOffset())
	restored := c.startNode("domain-a")
	wharftest.Eventually(t, "the new node has the state", func() bool { return allNodesHaveClass(c, "one", 1) })
	is.True(restored.view.State().Offset() >= 1)
}

// TestLostAppendResponse guards against a node that never owns keys because the
// response to the append of its ownership record was lost. The append itself
// succeeded.
func TestLostAppendResponse(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	c.log.lostResponses.Store(1)
	n := c.startNode("domain-a")
	var e effects
	c.startTarget(n, "bookings", e.book)
	is.Equal(n.send(request{method: "POST", service: "bookings", key: "k"}).status, 200)
	is.Equal(len(n.view.State().Ownership().Owners("bookings")), 1)
}

// TestOverloadShedsLowestClass fills a target and its queue with requests of a
// low class and then sends requests of a high class. Requests of the low class
// must be refused, and all of the high class served.
func TestOverloadShedsLowestClass(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	c.log.publish(t, "classes",
		wharfconfig.Document{Kind: wharfconfig.KindClass, Name: "high", Rank: 0},
		wharfconfig.Document{Kind: wharfconfig.KindClass, Name: "low", Rank: 9},
		wharfconfig.Document{Kind: wharfconfig.KindService, Name: "work"},
		wharfconfig.Document{Kind: wharfconfig.KindRule, Name: "high", Selector: "service=work,method=GET", Class: "high"},
		wharfconfig.Document{Kind: wharfconfig.KindRule, Name: "low", Selector: "service=work,method=HEAD", Class: "low"})
	n := c.startNode("domain-a")
	release := make(chan struct{})
	c.startTarget(n, "work", func(w http.ResponseWriter, r *http.Request) {
		<-release
		hello(w, r)
	})
	wharftest.Eventually(t, "the classes are in force", func() bool { return len(n.view.Config().Classes()) == 2 })
	const lows, highs = 60, 5
	low, high := make(chan reply, lows), make(chan reply, highs)
	for i := range lows {
		go func() { low <- n.send(request{method: "HEAD", service: "work", path: fmt.Sprint(i)}) }()
	}
	wharftest.Eventually(t, "a request of the low class is refused", func() bool { return len(low) > 0 })
	for i := range highs {
		go func() { high <- n.send(request{service: "work", path: fmt.Sprint(i)}) }()
	}
	wharftest.Eventually(t, "requests of the high class are in flight", func() bool { return n.proxy.InFlight() >= highs })
	close(release)
	for range highs {
		is.Equal((<-high).status, 200)
	}
	refused := 0
	for range lows {
		if got := <-low; got.status == 503 {
			is.Equal(got.outcome, "not-run")
			refused++
		}
	}
	is.True(refused > 0)
}
