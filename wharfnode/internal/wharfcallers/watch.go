package wharfcallers

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// watchInterval is the interval of the checks whether a caller has gone. A check is one system call,
// and only connections on which the next request waits are checked.
const watchInterval = 100 * time.Millisecond

// peerCloser is a connection that tells whether its other end has sent all that it will send. A
// connection of the operating system is asked by its descriptor instead.
type peerCloser interface {
	PeerClosed() bool
}

// canWatch reports whether a connection tells that its caller has gone.
func canWatch(c net.Conn) bool {
	if _, ok := c.(peerCloser); ok {
		return true
	}
	_, ok := c.(syscall.Conn)
	return ok
}

// watch watches a connection with bytes that weren't read yet. It learns that the caller has gone once
// the kernel has received all that the caller had sent.
type watch struct {
	conn net.Conn
	// gone ends the requests of the connection, and ended ends the watch.
	gone  context.CancelFunc
	ended chan struct{}
}

// run checks the connection until the watch ends. If the caller has gone, it closes the connection, so
// that none of the requests that wait there is read.
func (w *watch) run() {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.ended:
			return
		case <-ticker.C:
		}
		if peerClosed(w.conn) {
			_ = w.conn.Close()
			w.gone()
			return
		}
	}
}

func peerClosed(c net.Conn) bool {
	if p, ok := c.(peerCloser); ok {
		return p.PeerClosed()
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		closed = err == nil && n > 0 && fds[0].Revents != 0
	})
	return closed || err != nil
}
