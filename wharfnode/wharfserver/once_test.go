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

// TestResendTakesEffectOnce resends keys to every node in turn.
func TestResendTakesEffectOnce(t *testing.T) {
	m := newMesh(t)
	var e effects
	for _, domain := range []string{"domain-a", "domain-b", "domain-c"} {
		m.serve(m.start(domain), "bookings", e.book)
	}
	for _, key := range []string{"opaque-1", "opaque-2", uuid.Must(uuid.NewV7()).String()} {
		t.Run(key, func(t *testing.T) {
			is := is.New(t)
			for i := range 6 {
				got := m.nodes[i%len(m.nodes)].send(request{method: "POST", service: "bookings", key: key, body: "slot"})
				is.NoErr(got.err)
				is.Equal(got.status, 200)
				is.Equal(got.body, "booked "+key+", effect 1")
			}
			is.Equal(e.get(key), 1)
			got := m.nodes[0].send(request{method: "POST", service: "bookings", key: key, body: "another"})
			is.Equal(got.status, 422)
			is.Equal(got.reason, "key-mismatch")
		})
	}
}

func TestResendWhileRunningJoins(t *testing.T) {
	is := is.New(t)
	m := newMesh(t)
	n := m.start("domain-a")
	var e effects
	release := make(chan struct{})
	m.serve(n, "bookings", func(w http.ResponseWriter, r *http.Request) {
		<-release
		e.book(w, r)
	})
	const sends = 5
	replies := make(chan reply, sends)
	for range sends {
		go func() { replies <- n.send(request{method: "POST", service: "bookings", key: "k"}) }()
	}
	wharftest.Eventually(t, "all sends are under way", func() bool { return n.target.Calls() == sends })
	close(release)
	for range sends {
		got := <-replies
		is.Equal(got.status, 200)
		is.Equal(got.body, "booked k, effect 1")
	}
	is.Equal(e.get("k"), 1)
}

// TestLostAnswerIsUnknown lets the target take the request, and break off its
// connection instead of answering. Nothing on the way may send it again, also
// on a connection that was used before.
func TestLostAnswerIsUnknown(t *testing.T) {
	tests := []struct {
		name string
		key  string
		// resend is what a resend is told.
		resend string
	}{
		{"key of the caller", "k", "unknown"},
		{"no key", "", "unknown"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			m := newMesh(t)
			n := m.start("domain-a")
			var arrivals atomic.Int32
			m.serve(n, "bookings", func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if r.URL.Path == "/lost" {
					arrivals.Add(1)
					breakOff(w)
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
			is.Equal(again.outcome, tc.resend)
			is.Equal(arrivals.Load(), int32(1))
		})
	}
}

// TestHomeMovesWithJoin moves keys to a node that joins; the earlier home is
// asked, so that nothing runs twice.
func TestHomeMovesWithJoin(t *testing.T) {
	is := is.New(t)
	m := newMesh(t)
	var e effects
	m.serve(m.start("domain-a"), "bookings", e.book)
	const keys = 20
	send := func(i, at int) reply {
		return m.nodes[at].send(request{method: "POST", service: "bookings", key: fmt.Sprint("key-", i)})
	}
	for i := range keys {
		is.Equal(send(i, 0).status, 200)
	}
	m.serve(m.start("domain-b"), "bookings", e.book)
	for i := range keys {
		got := send(i, i%2)
		is.Equal(got.body, fmt.Sprintf("booked key-%d, effect 1", i))
		is.Equal(e.get(fmt.Sprint("key-", i)), 1)
	}
}

// TestPlannedStopHandsKeysOver stops a home as planned; the next one answers
// resends from the records that it was given.
func TestPlannedStopHandsKeysOver(t *testing.T) {
	is := is.New(t)
	m := newMesh(t)
	var e effects
	for _, domain := range []string{"domain-a", "domain-b"} {
		m.serve(m.start(domain), "bookings", e.book)
	}
	const keys = 20
	for i := range keys {
		is.Equal(m.nodes[0].send(request{method: "POST", service: "bookings", key: fmt.Sprint("key-", i)}).status, 200)
	}
	m.nodes[1].stop()
	<-m.nodes[1].ended
	wharftest.Eventually(t, "the move is known", func() bool {
		return len(m.nodes[0].view.State().Ownership().Owners("bookings")) == 1
	})
	for i := range keys {
		got := m.nodes[0].send(request{method: "POST", service: "bookings", key: fmt.Sprint("key-", i)})
		is.Equal(got.body, fmt.Sprintf("booked key-%d, effect 1", i))
		is.Equal(e.get(fmt.Sprint("key-", i)), 1)
	}
}

// TestUnsafeRequestWithoutHomeIsRefused keeps a request with a key from a
// service whose homes aren't in the log yet.
func TestUnsafeRequestWithoutHomeIsRefused(t *testing.T) {
	is := is.New(t)
	m := newMesh(t)
	m.log.down.Store(true)
	n := m.start("domain-a")
	var e effects
	m.serve(n, "bookings", e.book)
	got := n.send(request{method: "POST", service: "bookings", key: "k"})
	is.Equal(got.status, 503)
	is.Equal(got.outcome, "not-run")
	is.Equal(got.reason, "home-unreachable")
	is.Equal(e.get("k"), 0)
}

// TestOwnerWithoutConfirmationRunsNoKey withdraws what a home knows of the end
// of the log, as a pause does.
func TestOwnerWithoutConfirmationRunsNoKey(t *testing.T) {
	is := is.New(t)
	m := newMesh(t)
	n := m.start("domain-a")
	var e effects
	m.serve(n, "bookings", e.book)
	m.log.down.Store(true)
	n.view.ResetConfirmation()
	got := n.send(request{method: "POST", service: "bookings", key: "k"})
	is.Equal(got.reason, "home-catching-up")
	is.Equal(got.outcome, "not-run")
	is.Equal(e.get("k"), 0)
	m.log.down.Store(false)
	wharftest.Eventually(t, "the home has caught up", func() bool {
		return n.send(request{method: "POST", service: "bookings", key: "k"}).status == 200
	})
	is.Equal(e.get("k"), 1)
}

// TestKeyIsPassedOn checks that the target sees the caller's key.
func TestKeyIsPassedOn(t *testing.T) {
	is := is.New(t)
	m := newMesh(t)
	n := m.start("domain-a")
	m.serve(n, "bookings", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Header.Get(wharfwire.HeaderIdempotencyKey))
	})
	is.Equal(n.send(request{method: "POST", service: "bookings", key: "k"}).body, "k")
}
