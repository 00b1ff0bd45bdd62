package wharfserver

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"ragwortwharf.dev/wharf/wharfbudget"
	"ragwortwharf.dev/wharf/wharfconnection"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

// limitLogInterval is the shortest time between two log lines about the limit of connections.
const limitLogInterval = 10 * time.Second

// acceptedConnections are the connections that a server has accepted. Beyond a limit it refuses
// calls, and beyond a higher one it accepts no connection. It never closes an idle connection, on which a request may be on its way, but closes
// connections after their responses, so that others find room.
type acceptedConnections struct {
	log          wharfevents.Log
	memory       *wharfbudget.Memory
	open, active atomic.Int64
	limits       atomic.Pointer[wharfconnection.Limits]
	// accepted counts all connections so far.
	accepted atomic.Int64
	// changed has an element when there may be room for a connection.
	changed chan struct{}
	// lastLogged is the time of the last log line about the limit, in Unix nanoseconds.
	lastLogged atomic.Int64
}

func newAcceptedConnections(limits wharfconnection.Limits, memory *wharfbudget.Memory, log wharfevents.Log) *acceptedConnections {
	a := &acceptedConnections{log: log, memory: memory, changed: make(chan struct{}, 1)}
	a.setLimits(limits)
	return a
}

// attach makes the connections and requests of a server count.
func (a *acceptedConnections) attach(s *http.Server) {
	s.ConnState = a.onStateChange
	s.Handler = countedHandler{s.Handler, a}
}

// setLimits sets the limits of the connections that the server may hold.
func (a *acceptedConnections) setLimits(limits wharfconnection.Limits) {
	a.limits.Store(&limits)
	a.wake()
}

// connections returns the connections at present.
func (a *acceptedConnections) connections() wharfconnection.Connections {
	return wharfconnection.Connections{Limits: *a.limits.Load(), Open: int(a.open.Load()), Active: int(a.active.Load())}
}

// refuses reports whether a call that has arrived is refused.
func (a *acceptedConnections) refuses() bool {
	c := a.connections()
	if c.Refuses() {
		a.logLimit(c)
		return true
	}
	return false
}

// surplus reports whether a connection is to be closed after its response.
func (a *acceptedConnections) surplus() bool {
	return a.connections().Surplus()
}

func (a *acceptedConnections) wake() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

func (a *acceptedConnections) onStateChange(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		a.open.Add(1)
		a.accepted.Add(1)
		a.memory.Hold(wharfbudget.NodeConnections, nodeConnectionBytes)
	case http.StateClosed, http.StateHijacked:
		a.open.Add(-1)
		a.memory.Release(wharfbudget.NodeConnections, nodeConnectionBytes)
		a.wake()
	}
}

// awaitRoom waits until the server may accept a connection. It returns false if closed ends
// first.
func (a *acceptedConnections) awaitRoom(closed <-chan struct{}) bool {
	for {
		c := a.connections()
		if !c.Full() {
			return true
		}
		a.logLimit(c)
		select {
		case <-a.changed:
		case <-closed:
			return false
		}
	}
}

// logLimit logs that the server holds as many connections as it may.
func (a *acceptedConnections) logLimit(c wharfconnection.Connections) {
	now := time.Now()
	last := a.lastLogged.Load()
	if now.UnixNano()-last < int64(limitLogInterval) || !a.lastLogged.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	a.log.Emit(wharfevents.ConnectionsLimited,
		wharfevents.Field{Name: "limit", Value: c.Kept},
		wharfevents.Field{Name: "open", Value: c.Open},
		wharfevents.Field{Name: "active", Value: c.Active})
}

// countedHandler counts the requests that are being served.
type countedHandler struct {
	next        http.Handler
	connections *acceptedConnections
}

// ServeHTTP serves one request.
func (h countedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.connections.active.Add(1)
	defer h.connections.active.Add(-1)
	h.next.ServeHTTP(w, r)
}

// limitedListener accepts a connection only when there is room for it. The others wait in the
// queue of the kernel.
type limitedListener struct {
	net.Listener
	connections *acceptedConnections
	once        sync.Once
	closed      chan struct{}
}

func newLimitedListener(l net.Listener, a *acceptedConnections) *limitedListener {
	return &limitedListener{Listener: l, connections: a, closed: make(chan struct{})}
}

// Accept waits for room, and then for a connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	if !l.connections.awaitRoom(l.closed) {
		return nil, net.ErrClosed
	}
	return l.Listener.Accept()
}

// Close closes the listener.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
