package wharfsocket

import (
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

// KeepAlive is how idle connections are probed.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}

// Control sets the options of a socket that has no setting in package net.
func Control(_, _ string, c syscall.RawConn) error {
	var fault error
	err := c.Control(func(fd uintptr) {
		fault = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return fault
}

// ListenConfig returns how a node listens.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{Control: Control, KeepAliveConfig: KeepAlive}
}
