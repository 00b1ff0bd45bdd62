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
	// unackedTimeout is the TCP user timeout: the kernel closes a connection if
	// sent bytes stay unacknowledged for this long.
	unackedTimeout = 2 * time.Second
)

// keepAlive configures the probes on idle connections.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}

// control sets the socket option for which package net has no setting.
func control(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
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

// listenConfig returns the configuration of a node's listeners.
func listenConfig() *net.ListenConfig {
	return &net.ListenConfig{Control: control, KeepAliveConfig: keepAlive}
}
