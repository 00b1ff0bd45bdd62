package wharfserver

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharfnode/internal/wharftest"
)

// setPartition starts or ends a network partition that separates b from a and
// from the log.
func setPartition(a, b *testNode, partitioned bool) {
	a.link.setDown(partitioned)
	b.link.setDown(partitioned)
	b.logLink.setDown(partitioned)
}

// TestPartitionedDomainServes separates a failure domain from the other one and
// from the log. The separated domain must serve its own callers with its last
// configuration, and apply the newer one after the partition. No booking may
// take effect twice, although each is sent repeatedly to both sides.
func TestPartitionedDomainServes(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	var e effects
	a, b := c.startNode("domain-a"), c.startNode("domain-b")
	for _, n := range c.nodes {
		c.startTarget(n, "bookings", e.book)
		c.startTarget(n, "reads", hello)
	}
	class := func(name string, rank int) wharfconfig.Document {
		return wharfconfig.Document{Kind: wharfconfig.KindClass, Name: name, Rank: rank}
	}
	c.log.publish(t, "before", class("one", 1))
	wharftest.Eventually(t, "the first change is in force", func() bool { return allNodesHaveClass(c, "one", 1) })

	setPartition(a, b, true)
	c.log.publish(t, "during", class("two", 2))
	wharftest.Eventually(t, "the side with the log has the change", func() bool { return a.view.Config().Class("two").Rank == 2 })
	wharftest.Eventually(t, "the separated side serves its callers", func() bool { return b.send(request{service: "reads"}).status == 200 })
	is.True(b.view.Config().Class("two").Rank != 2)
	const keys = 12
	book := func() {
		for i := range keys {
			for _, n := range c.nodes {
				key := fmt.Sprint("key-", i)
				got := n.send(request{method: "POST", service: "bookings", key: key})
				if got.outcome == "completed" {
					is.Equal(e.get(key), 1)
				}
			}
		}
	}
	book()
	offset := b.view.State().Offset()

	setPartition(a, b, false)
	wharftest.Eventually(t, "the separated side has caught up", func() bool { return allNodesHaveClass(c, "two", 2) })
	is.True(b.view.State().Offset() > offset)
	book()
	for i := range keys {
		is.True(e.get(fmt.Sprint("key-", i)) <= 1)
	}
	wharftest.Eventually(t, "every booking succeeds", func() bool {
		for i := range keys {
			if a.send(request{method: "POST", service: "bookings", key: fmt.Sprint("key-", i)}).status != 200 {
				return false
			}
		}
		return true
	})
	for i := range keys {
		is.Equal(e.get(fmt.Sprint("key-", i)), 1)
	}
}

// TestBookingDuringPartition guards against a booking that takes effect twice,
// or is reported as not run, when a partition begins while the target runs it.
// The booking is resent to the owner during the partition, and to both sides
// after it.
func TestBookingDuringPartition(t *testing.T) {
	tests := []struct {
		name     string
		setFault func(owner, sender *testNode, partitioned bool)
	}{
		{"owner separated from sender and log", func(owner, sender *testNode, partitioned bool) { setPartition(sender, owner, partitioned) }},
		{"sender separated from owner and log", func(owner, sender *testNode, partitioned bool) { setPartition(owner, sender, partitioned) }},
		{"owner separated from the log, state not confirmed", func(owner, _ *testNode, partitioned bool) {
			owner.logLink.setDown(partitioned)
			if partitioned {
				owner.view.ResetConfirmation()
			}
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := newTestCluster(t)
			var e effects
			owner, sender := c.startNode("domain-a"), c.startNode("domain-b")
			running, release := make(chan struct{}), make(chan struct{})
			c.startTarget(owner, "bookings", func(w http.ResponseWriter, r *http.Request) {
				close(running)
				<-release
				e.book(w, r)
			})
			book := func(n *testNode) reply { return n.send(request{method: "POST", service: "bookings", key: "k"}) }
			first := make(chan reply)
			go func() { first <- book(sender) }()
			<-running
			tc.setFault(owner, sender, true)
			resent := make(chan reply)
			go func() { resent <- book(owner) }()
			close(release)
			is.True((<-first).outcome != "not-run")
			is.True((<-resent).outcome != "not-run")
			tc.setFault(owner, sender, false)
			for _, n := range c.nodes {
				wharftest.Eventually(t, "a resend gets the stored response", func() bool {
					got := book(n)
					return got.status == 200 && got.body == "booked k, effect 1"
				})
			}
			is.Equal(e.get("k"), 1)
		})
	}
}
