package wharfserver

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ragwortwharf.dev/wharf/wharfsocket"
)

// linkTimeout bounds the connection setup of a link.
const linkTimeout = 30 * time.Second

// link is a TCP proxy that forwards connections to destination. Tests interrupt
// it to simulate network faults.
type link struct {
	address     string
	destination string
	// Once the link is blackholed, listener is closed and sent data is
	// discarded.
	listener   net.Listener
	blackholed atomic.Bool

	mu    sync.Mutex
	down  bool
	conns []net.Conn
}

func newLink(t *testing.T, to string) *link {
	t.Helper()
	// A link delays no reader, so its connections have no timeout of their own.
	listener, err := wharfsocket.ListenForReaders(t.Context(), "127.0.0.1:0", 0)
	if err != nil {
		t.Fatal(err)
	}
	l := &link{address: listener.Addr().String(), destination: to, listener: listener}
	go l.run(listener)
	t.Cleanup(func() {
		_ = listener.Close()
		l.setDown(true)
	})
	return l
}

func (l *link) run(listener net.Listener) {
	for {
		from, err := listener.Accept()
		if err != nil {
			return
		}
		to, err := wharfsocket.Plain(linkTimeout)(context.Background(), "tcp", l.destination)
		if err != nil || !l.track(from, to) {
			_ = from.Close()
			continue
		}
		go l.forward(from, to)
		go l.forward(to, from)
	}
}

// track records a pair of connections, so that setDown can close them. It
// reports whether the link is up; if it is down, track closes to.
func (l *link) track(from, to net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		_ = to.Close()
		return false
	}
	l.conns = append(l.conns, from, to)
	return true
}

func (l *link) forward(from, to net.Conn) {
	_, _ = io.Copy(blackholeWriter{to, &l.blackholed}, from)
	_ = to.Close()
	_ = from.Close()
}

// blackholeWriter discards written data once the link is blackholed.
type blackholeWriter struct {
	io.Writer
	discard *atomic.Bool
}

func (w blackholeWriter) Write(p []byte) (int, error) {
	if w.discard.Load() {
		return len(p), nil
	}
	return w.Writer.Write(p)
}

// blackhole discards all further data in both directions and refuses new
// connections, but leaves the existing connections open.
func (l *link) blackhole() {
	l.blackholed.Store(true)
	_ = l.listener.Close()
}

// freeze stops or resumes the forwarding of data in both directions, while connections stay
// open and new ones are accepted, as when the process behind the link is paused.
func (l *link) freeze(frozen bool) {
	l.blackholed.Store(frozen)
}

// setDown interrupts or restores the link. An interruption closes the
// connections.
func (l *link) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	if !down {
		return
	}
	for _, c := range l.conns {
		_ = c.Close()
	}
	l.conns = nil
}
