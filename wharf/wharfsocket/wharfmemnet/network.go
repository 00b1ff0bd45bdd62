package wharfmemnet

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// backlog is the number of connections that may wait to be accepted.
const backlog = 4096

// Network is a network in memory. A dial to an address without a listener is refused. The
// zero Network is ready to use. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	lastPort  int
}

// Listen opens a listener. Port 0 stands for any free port.
func (n *Network) Listen(_ context.Context, network, address string) (net.Listener, error) {
	a, err := net.ResolveTCPAddr(network, address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = make(map[string]*listener)
	}
	if a.Port == 0 {
		a.Port = n.freePort(a)
	}
	if _, taken := n.listeners[a.String()]; taken {
		return nil, &net.OpError{Op: "listen", Net: network, Addr: a, Err: syscall.EADDRINUSE}
	}
	l := &listener{network: n, address: a, accepted: make(chan net.Conn, backlog), closed: make(chan struct{})}
	n.listeners[a.String()] = l
	return l, nil
}

// firstPort is the lowest port that Listen assigns.
const firstPort = 10_000

// freePort returns a port that was not assigned before; the caller holds the lock.
func (n *Network) freePort(a *net.TCPAddr) int {
	for n.lastPort = max(n.lastPort, firstPort); ; n.lastPort++ {
		candidate := net.TCPAddr{IP: a.IP, Port: n.lastPort + 1}
		if _, taken := n.listeners[candidate.String()]; !taken {
			n.lastPort++
			return n.lastPort
		}
	}
}

// DialContext connects to a listener.
func (n *Network) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	if l == nil {
		return nil, refused
	}
	client, server := newPair(&net.TCPAddr{IP: l.address.IP}, l.address)
	select {
	case <-l.closed:
		return nil, refused
	case l.accepted <- server:
		return client, nil
	default:
		return nil, refused
	}
}

// listener accepts the connections to an address.
type listener struct {
	network  *Network
	address  *net.TCPAddr
	accepted chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

// Accept waits for a connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.address, Err: net.ErrClosed}
	case c := <-l.accepted:
		return c, nil
	}
}

// Close closes the listener and the connections that wait to be accepted.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.address.String())
		l.network.mu.Unlock()
		close(l.closed)
		for {
			select {
			case c := <-l.accepted:
				_ = c.Close()
			default:
				return
			}
		}
	})
	return nil
}

// Addr returns the address of the listener.
func (l *listener) Addr() net.Addr { return l.address }
