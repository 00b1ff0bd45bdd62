package wharfsocket

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Network makes connections and listeners.
type Network interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
	Listen(ctx context.Context, network, address string) (net.Listener, error)
}

// replaced holds the network that replaces that of the operating system.
var replaced atomic.Pointer[Network]

// Replace replaces the network of the operating system in this process, for tests, until
// restore is called.
func Replace(n Network) (restore func()) {
	replaced.Store(&n)
	return func() { replaced.Store(nil) }
}

// Replacement returns the network that replaces that of the operating system, or nil.
func Replacement() Network {
	if n := replaced.Load(); n != nil {
		return *n
	}
	return nil
}

// Listen opens a listener of a node for small responses.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	if n := Replacement(); n != nil {
		return n.Listen(ctx, "tcp", address)
	}
	return listenConfig(slices.Concat(probeOptions, dialOptions)).Listen(ctx, "tcp", address)
}

// ListenForReaders opens a listener whose peers may read slowly, so whoever writes to its
// connections bounds the time for that. If receiveBytes isn't zero, the kernel receives at
// most as many bytes before they are read. A peer further away is slower for it.
func ListenForReaders(ctx context.Context, address string, receiveBytes int) (net.Listener, error) {
	if n := Replacement(); n != nil {
		return n.Listen(ctx, "tcp", address)
	}
	options := probeOptions
	if receiveBytes > 0 {
		options = append(slices.Clip(options), socketOption{unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes})
	}
	return listenConfig(options).Listen(ctx, "tcp", address)
}

// DialFunc makes a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// LongLived returns a function that makes connections on which an unresponsive peer is
// detected within seconds, and which receive responseBytes ahead at most. The timeout bounds the
// setup.
func LongLived(timeout time.Duration) DialFunc {
	return dialWith(&net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: control(slices.Concat(dialOptions, []socketOption{receiveAhead}))})
}

// Plain returns a function that makes connections without probes, which receive responseBytes
// ahead at most. The timeout bounds the setup.
func Plain(timeout time.Duration) DialFunc {
	return dialWith(&net.Dialer{Timeout: timeout, KeepAlive: disabled, Control: control([]socketOption{receiveAhead})})
}

func dialWith(d *net.Dialer) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if n := Replacement(); n != nil {
			return n.DialContext(ctx, network, address)
		}
		return d.DialContext(ctx, network, address)
	}
}
