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

// idleResetter makes a target reset a connection when a request arrives on it
// after the connection was idle for longer than limit.
type idleResetter struct {
	limit     time.Duration
	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
}

func (r *idleResetter) onStateChange(c net.Conn, s http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch s {
	case http.StateIdle:
		r.idleSince[c] = time.Now()
	case http.StateActive:
		since, known := r.idleSince[c]
		if known && time.Since(since) > r.limit {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}
}

// TestIdleConnectionResetLosesNoBooking guards against a failed booking on a
// reused connection. The target resets connections that were idle for 300 ms,
// and the requests, which must not run twice, are 400 ms apart.
func TestIdleConnectionResetLosesNoBooking(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	n := c.startNode("domain-a")
	resetter := &idleResetter{limit: 300 * time.Millisecond, idleSince: make(map[net.Conn]time.Time)}
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ConnState: resetter.onStateChange}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	c.announce(n, "book", l.Addr().String())
	wharftest.Eventually(t, "the target serves", func() bool {
		return n.send(request{service: "book"}).status == http.StatusOK
	})
	for range 4 {
		got := n.send(request{method: http.MethodPost, service: "book"})
		is.Equal(got.status, http.StatusOK)
		time.Sleep(400 * time.Millisecond)
	}
}
