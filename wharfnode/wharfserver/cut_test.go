package wharfserver

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharfnode/internal/wharftest"
)

// setCut cuts two nodes off from each other, and the second also from the log.
func setCut(a, b *testNode, cut bool) {
	a.link.setCut(cut)
	b.link.setCut(cut)
	b.logLink.setCut(cut)
}

// TestCutOffDomainGoesOn cuts a failure domain off from the other and from the
// log. It serves its own with the configuration that it has, takes the newer
// one after the cut, and no booking takes effect twice, whichever side it was
// sent to and however often.
func TestCutOffDomainGoesOn(t *testing.T) {
	is := is.New(t)
	m := newMesh(t)
	var e effects
	a, b := m.start("domain-a"), m.start("domain-b")
	for _, n := range m.nodes {
		m.serve(n, "bookings", e.book)
		m.serve(n, "reads", hello)
	}
	class := func(name string, rank int) wharfconfig.Document {
		return wharfconfig.Document{Kind: wharfconfig.KindClass, Name: name, Rank: rank}
	}
	m.log.publish(t, "before", class("one", 1))
	wharftest.Eventually(t, "the first change is in force", func() bool { return everywhere(m, "one", 1) })

	setCut(a, b, true)
	m.log.publish(t, "during", class("two", 2))
	wharftest.Eventually(t, "the near side has the change", func() bool { return a.view.Config().Class("two").Rank == 2 })
	wharftest.Eventually(t, "the far side serves its own", func() bool { return b.send(request{service: "reads"}).status == 200 })
	is.True(b.view.Config().Class("two").Rank != 2)
	const keys = 12
	book := func() {
		for i := range keys {
			for _, n := range m.nodes {
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

	setCut(a, b, false)
	wharftest.Eventually(t, "the far side has caught up", func() bool { return everywhere(m, "two", 2) })
	is.True(b.view.State().Offset() > offset)
	book()
	for i := range keys {
		is.True(e.get(fmt.Sprint("key-", i)) <= 1)
	}
	wharftest.Eventually(t, "every booking can be made", func() bool {
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

// TestBookingRunsThroughCut cuts the sender of a booking off from its home, or
// the home off from all others and the log, while the target runs it. It is
// resent to both sides, during the cut and after it.
func TestBookingRunsThroughCut(t *testing.T) {
	tests := []struct {
		name string
		cut  func(home, sender *testNode, cut bool)
	}{
		{"home cut off from the log too", func(home, sender *testNode, cut bool) { setCut(sender, home, cut) }},
		{"sender cut off from the log too", func(home, sender *testNode, cut bool) { setCut(home, sender, cut) }},
		{"view of the home not confirmed", func(home, _ *testNode, cut bool) {
			home.logLink.setCut(cut)
			if cut {
				home.view.ResetConfirmation()
			}
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			m := newMesh(t)
			var e effects
			home, sender := m.start("domain-a"), m.start("domain-b")
			running, release := make(chan struct{}), make(chan struct{})
			m.serve(home, "bookings", func(w http.ResponseWriter, r *http.Request) {
				close(running)
				<-release
				e.book(w, r)
			})
			book := func(n *testNode) reply { return n.send(request{method: "POST", service: "bookings", key: "k"}) }
			first := make(chan reply)
			go func() { first <- book(sender) }()
			<-running
			tc.cut(home, sender, true)
			joined := make(chan reply)
			go func() { joined <- book(home) }()
			close(release)
			is.True((<-first).outcome != "not-run")
			is.True((<-joined).outcome != "not-run")
			tc.cut(home, sender, false)
			for _, n := range m.nodes {
				wharftest.Eventually(t, "a resend gets the answer", func() bool {
					got := book(n)
					return got.status == 200 && got.body == "booked k, effect 1"
				})
			}
			is.Equal(e.get("k"), 1)
		})
	}
}
