package wharfsocket

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// probeIdle, probeInterval and probeCount find a peer that went silent while
	// a request waits, in about two seconds. A host that lives answers a probe
	// in less than the interval even between regions.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 2
	// unackedTimeout ends a connection whose bytes aren't acknowledged.
	unackedTimeout = 2 * time.Second
)

// keepAlive is how idle connections are probed.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}

// control sets the options of a socket that has no setting in package net.
func control(_, _ string, c syscall.RawConn) error {
	var fault error
	err := c.Control(func(fd uintptr) {
		fault = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return fault
}

// Dialer returns how connections are set up that last.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: control}
}

// CanConnect reports whether an address takes a connection in a time.
func CanConnect(ctx context.Context, address string, timeout time.Duration) bool {
	conn, err := (&net.Dialer{Timeout: timeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// ListenConfig returns how a node listens.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{Control: control, KeepAliveConfig: keepAlive}
}
