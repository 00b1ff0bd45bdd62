package wharfserver

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharfnode/internal/wharftest"
)

// forgetful is a target that forgets connections which have rested for a while:
// what comes next on them is reset.
type forgetful struct {
	after time.Duration
	mu    sync.Mutex
	used  map[net.Conn]time.Time
}

func (f *forgetful) state(c net.Conn, s http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch s {
	case http.StateIdle:
		f.used[c] = time.Now()
	case http.StateActive:
		rested, known := f.used[c]
		if known && time.Since(rested) > f.after {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}
}

// TestForgottenConnectionLosesNoBooking sends requests that must not run twice so
// far apart that the target has forgotten the connections between.
func TestForgottenConnectionLosesNoBooking(t *testing.T) {
	is := is.New(t)
	m := newMesh(t)
	n := m.start("domain-a")
	f := &forgetful{after: 300 * time.Millisecond, used: make(map[net.Conn]time.Time)}
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ConnState: f.state}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	m.announce(n, "book", l.Addr().String())
	wharftest.Eventually(t, "the target serves", func() bool {
		return n.send(request{service: "book"}).status == http.StatusOK
	})
	for range 4 {
		got := n.send(request{method: http.MethodPost, service: "book"})
		is.Equal(got.status, http.StatusOK)
		time.Sleep(400 * time.Millisecond)
	}
}
