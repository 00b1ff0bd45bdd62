package wharfsocket

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// probeIdle, probeInterval and probeCount configure TCP keep-alive. A peer
	// that stops responding while a request waits is detected within about two
	// seconds. A live host responds to a probe in less than the interval, even
	// between regions.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 2
	// unackedTimeout is the TCP user timeout: the kernel closes a connection if sent bytes
	// stay unacknowledged for this long, or if the peer reads nothing for as long.
	unackedTimeout = 2 * time.Second
	// DeliveryGrace is how long after the deadline of a request its sender may still read the
	// response. A sender that has stopped reading or was lost holds memory of the node until
	// then.
	DeliveryGrace = unackedTimeout
	// responseBytes is the receive buffer of a connection that the node opens, in bytes, which
	// the kernel doubles. With a buffer that grows, the kernel receives megabytes of a response
	// that the node doesn't read, and hundreds of such responses take the memory of a small VM.
	// It covers the round trip between failure domains at the rate of a VM's link.
	responseBytes = 32 << 10
	// disabled keeps package net from setting keep-alive options on each connection.
	disabled = -1
)

// keepAlive configures the probes on idle connections that the node opens.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}

// socketOption is an integer option of a TCP socket.
type socketOption struct{ level, name, value int }

// dialOptions are the options for which package net has no setting.
var dialOptions = []socketOption{
	{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds())},
}

// receiveAhead is the option that bounds the receive buffer.
var receiveAhead = socketOption{unix.SOL_SOCKET, unix.SO_RCVBUF, responseBytes}

// probeOptions are the options of a listener that configure the probes on idle connections.
// Linux passes them on to the connections that it accepts, which saves the calls that would
// set them on each one.
var probeOptions = []socketOption{
	{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
	{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(probeIdle.Seconds())},
	// The unit of the interval is a second, so that it is rounded up.
	{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int((probeInterval + time.Second - 1).Seconds())},
	{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, probeCount},
}

// control returns a function that sets options of a socket before it is used.
func control(options []socketOption) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) {
			for _, o := range options {
				if optionErr = unix.SetsockoptInt(int(fd), o.level, o.name, o.value); optionErr != nil {
					return
				}
			}
		})
		if err != nil {
			return err
		}
		return optionErr
	}
}

// CanConnect reports whether the address accepts a TCP connection within the
// timeout. It closes the connection at once.
func CanConnect(ctx context.Context, address string, timeout time.Duration) bool {
	conn, err := Plain(timeout)(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// listenConfig returns the configuration of a listener.
func listenConfig(options []socketOption) *net.ListenConfig {
	return &net.ListenConfig{Control: control(options), KeepAlive: disabled}
}
