package wharfserver

import (
	"io"
	"net"
	"sync"
	"testing"
)

// link passes connections on to an address, until it is cut.
type link struct {
	address string
	to      string
	mu      sync.Mutex
	cut     bool
	conns   []net.Conn
}

func newLink(t *testing.T, to string) *link {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &link{address: listener.Addr().String(), to: to}
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
		go pass(from, to)
		go pass(to, from)
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

func pass(from, to net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
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
