package wharfsocket

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// TestConnectionsNoticeUnresponsivePeers guards against connections without keep-alive
// probes or a bound for unacknowledged bytes: accepted ones, and those to other nodes.
func TestConnectionsNoticeUnresponsivePeers(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	l, err := Listen(ctx, "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	dialed, err := LongLived(time.Minute)(ctx, "tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = dialed.Close() }()
	accepted, err := l.Accept()
	is.NoErr(err)
	defer func() { _ = accepted.Close() }()
	for _, c := range []net.Conn{dialed, accepted} {
		is.Equal(option(t, c, unix.SOL_SOCKET, unix.SO_KEEPALIVE), 1)
		is.Equal(option(t, c, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE), 1)
		is.Equal(option(t, c, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL), 1)
		is.Equal(option(t, c, unix.IPPROTO_TCP, unix.TCP_KEEPCNT), probeCount)
		is.Equal(option(t, c, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT), int(unackedTimeout.Milliseconds()))
	}
}

// TestPeersMayReadSlowly guards against connections that the kernel resets because the peer
// reads nothing for a while.
func TestPeersMayReadSlowly(t *testing.T) {
	for _, receiveBytes := range []int{0, 4096} {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		l, err := ListenForReaders(ctx, "127.0.0.1:0", receiveBytes)
		is.NoErr(err)
		defer func() { _ = l.Close() }()
		dialed, err := Plain(time.Minute)(ctx, "tcp", l.Addr().String())
		is.NoErr(err)
		defer func() { _ = dialed.Close() }()
		accepted, err := l.Accept()
		is.NoErr(err)
		defer func() { _ = accepted.Close() }()
		is.Equal(option(t, accepted, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT), 0)
		is.Equal(option(t, accepted, unix.SOL_SOCKET, unix.SO_KEEPALIVE), 1)
		is.Equal(option(t, accepted, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE), 1)
		is.Equal(option(t, accepted, unix.IPPROTO_TCP, unix.TCP_KEEPCNT), probeCount)
	}
}

// option returns the value of a socket option of a connection.
func option(t *testing.T, c net.Conn, level, name int) int {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var value int
	var optionErr error
	if err := raw.Control(func(fd uintptr) { value, optionErr = unix.GetsockoptInt(int(fd), level, name) }); err != nil || optionErr != nil {
		t.Fatal(err, optionErr)
	}
	return value
}
