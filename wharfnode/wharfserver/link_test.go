package wharfserver

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// link passes connections on to an address, until it is cut.
type link struct {
	address string
	to      string
	// listener is closed, and what is sent is lost, once the link is dark.
	listener net.Listener
	dark     atomic.Bool

	mu    sync.Mutex
	cut   bool
	conns []net.Conn
}

func newLink(t *testing.T, to string) *link {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &link{address: listener.Addr().String(), to: to, listener: listener}
	go l.run(listener)
	t.Cleanup(func() {
		_ = listener.Close()
		l.setCut(true)
	})
	return l
}

func (l *link) run(listener net.Listener) {
	for {
		from, err := listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", l.to)
		if err != nil || !l.keep(from, to) {
			_ = from.Close()
			continue
		}
		go l.pass(from, to)
		go l.pass(to, from)
	}
}

// keep remembers a pair of connections. It is false while the link is cut.
func (l *link) keep(from, to net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		_ = to.Close()
		return false
	}
	l.conns = append(l.conns, from, to)
	return true
}

func (l *link) pass(from, to net.Conn) {
	_, _ = io.Copy(darkWriter{to, &l.dark}, from)
	_ = to.Close()
	_ = from.Close()
}

// darkWriter loses what is written once the link is dark.
type darkWriter struct {
	io.Writer
	dark *atomic.Bool
}

func (w darkWriter) Write(p []byte) (int, error) {
	if w.dark.Load() {
		return len(p), nil
	}
	return w.Writer.Write(p)
}

// fallDark leaves the connections open, but nothing passes any more.
func (l *link) fallDark() {
	l.dark.Store(true)
	_ = l.listener.Close()
}

func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if !cut {
		return
	}
	for _, c := range l.conns {
		_ = c.Close()
	}
	l.conns = nil
}
