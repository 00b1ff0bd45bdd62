package wharfserver

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/internal/wharftest"
)

// TestResendTakesEffectOnce resends bookings with a key to each node in turn.
// It guards against a second effect, and against a key that is accepted with
// another body.
func TestResendTakesEffectOnce(t *testing.T) {
	c := newTestCluster(t)
	var e effects
	for _, domain := range []string{"domain-a", "domain-b", "domain-c"} {
		c.startTarget(c.startNode(domain), "bookings", e.book)
	}
	// A UUIDv7 contains the time at which the key was generated, which the node
	// reads. An opaque key doesn't, so keys of both kinds are tested.
	for _, key := range []string{"opaque-1", "opaque-2", uuid.Must(uuid.NewV7()).String()} {
		t.Run(key, func(t *testing.T) {
			is := is.New(t)
			for i := range 6 {
				got := c.nodes[i%len(c.nodes)].send(request{method: "POST", service: "bookings", key: key, body: "slot"})
				is.NoErr(got.err)
				is.Equal(got.status, 200)
				is.Equal(got.body, "booked "+key+", effect 1")
			}
			is.Equal(e.get(key), 1)
			got := c.nodes[0].send(request{method: "POST", service: "bookings", key: key, body: "another"})
			is.Equal(got.status, 422)
			is.Equal(got.reason, "key-mismatch")
		})
	}
}

// TestResendWhileRunningSharesResponse guards against a second effect of a
// booking that is resent while it runs. All sends must get the one response.
func TestResendWhileRunningSharesResponse(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	n := c.startNode("domain-a")
	var e effects
	release := make(chan struct{})
	c.startTarget(n, "bookings", func(w http.ResponseWriter, r *http.Request) {
		<-release
		e.book(w, r)
	})
	const sends = 5
	replies := make(chan reply, sends)
	for range sends {
		go func() { replies <- n.send(request{method: "POST", service: "bookings", key: "k"}) }()
	}
	wharftest.Eventually(t, "all sends are in flight", func() bool { return n.target.CallsInFlight() == sends })
	close(release)
	for range sends {
		got := <-replies
		is.Equal(got.status, 200)
		is.Equal(got.body, "booked k, effect 1")
	}
	is.Equal(e.get("k"), 1)
}

// TestLostResponseIsUnknown guards against a hidden resend. The target reads
// the request and closes the connection without a response. No node and no HTTP
// client may send the request again, even on a connection that was used before.
func TestLostResponseIsUnknown(t *testing.T) {
	tests := []struct {
		name string
		key  string
		// resendOutcome is the outcome of a resend. It isn't used without a key,
		// because then the node can't recognize a resend.
		resendOutcome string
	}{
		{"key of the caller", "k", "unknown"},
		{"no key", "", "unknown"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := newTestCluster(t)
			n := c.startNode("domain-a")
			var arrivals atomic.Int32
			c.startTarget(n, "bookings", func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if r.URL.Path == "/lost" {
					arrivals.Add(1)
					closeWithoutResponse(w)
				}
			})
			is.Equal(n.send(request{method: "POST", service: "bookings", path: "/first"}).status, 200)
			got := n.send(request{method: "POST", service: "bookings", path: "/lost", key: tc.key})
			is.Equal(got.status, 504)
			is.Equal(got.outcome, "unknown")
			is.Equal(arrivals.Load(), int32(1))
			if tc.key == "" {
				return
			}
			again := n.send(request{method: "POST", service: "bookings", path: "/lost", key: tc.key})
			is.Equal(again.outcome, tc.resendOutcome)
			is.Equal(arrivals.Load(), int32(1))
		})
	}
}

// TestJoinMovesOwnership moves the ownership of keys to a node that joins. It
// guards against a second effect when the new owner doesn't consult the
// previous one.
func TestJoinMovesOwnership(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	var e effects
	c.startTarget(c.startNode("domain-a"), "bookings", e.book)
	const keys = 20
	send := func(i, at int) reply {
		return c.nodes[at].send(request{method: "POST", service: "bookings", key: fmt.Sprint("key-", i)})
	}
	for i := range keys {
		is.Equal(send(i, 0).status, 200)
	}
	c.startTarget(c.startNode("domain-b"), "bookings", e.book)
	for i := range keys {
		got := send(i, i%2)
		is.Equal(got.body, fmt.Sprintf("booked key-%d, effect 1", i))
		is.Equal(e.get(fmt.Sprint("key-", i)), 1)
	}
}

// TestPlannedStopHandsKeysOver makes a planned stop of an owner. The next owner
// must serve resends from the key records that the stopped owner handed over.
func TestPlannedStopHandsKeysOver(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	var e effects
	for _, domain := range []string{"domain-a", "domain-b"} {
		c.startTarget(c.startNode(domain), "bookings", e.book)
	}
	const keys = 20
	for i := range keys {
		is.Equal(c.nodes[0].send(request{method: "POST", service: "bookings", key: fmt.Sprint("key-", i)}).status, 200)
	}
	c.nodes[1].stop()
	<-c.nodes[1].ended
	wharftest.Eventually(t, "the new ownership is known", func() bool {
		return len(c.nodes[0].view.State().Ownership().Owners("bookings")) == 1
	})
	for i := range keys {
		got := c.nodes[0].send(request{method: "POST", service: "bookings", key: fmt.Sprint("key-", i)})
		is.Equal(got.body, fmt.Sprintf("booked key-%d, effect 1", i))
		is.Equal(e.get(fmt.Sprint("key-", i)), 1)
	}
}

// TestKeyedRequestWithoutOwnerIsRefused guards against the dispatch of a
// request with a key before the log has an owner of the service's keys.
func TestKeyedRequestWithoutOwnerIsRefused(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	c.log.down.Store(true)
	n := c.startNode("domain-a")
	var e effects
	c.startTarget(n, "bookings", e.book)
	got := n.send(request{method: "POST", service: "bookings", key: "k"})
	is.Equal(got.status, 503)
	is.Equal(got.outcome, "not-run")
	is.Equal(got.reason, "home-unreachable")
	is.Equal(e.get("k"), 0)
}

// TestOwnerWithoutConfirmationRunsNoKey guards against an owner that runs a
// keyed request with an outdated state. The log is down, and the owner's
// confirmation that it has read the log to the end is reset, as after a process
// pause.
func TestOwnerWithoutConfirmationRunsNoKey(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	n := c.startNode("domain-a")
	var e effects
	c.startTarget(n, "bookings", e.book)
	c.log.down.Store(true)
	n.view.ResetConfirmation()
	got := n.send(request{method: "POST", service: "bookings", key: "k"})
	is.Equal(got.reason, "home-catching-up")
	is.Equal(got.outcome, "not-run")
	is.Equal(e.get("k"), 0)
	c.log.down.Store(false)
	wharftest.Eventually(t, "the owner has caught up", func() bool {
		return n.send(request{method: "POST", service: "bookings", key: "k"}).status == 200
	})
	is.Equal(e.get("k"), 1)
}

// TestTargetReceivesKey checks that the target receives the caller's key.
func TestTargetReceivesKey(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	n := c.startNode("domain-a")
	c.startTarget(n, "bookings", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Header.Get(wharfwire.HeaderIdempotencyKey))
	})
	is.Equal(n.send(request{method: "POST", service: "bookings", key: "k"}).body, "k")
}
