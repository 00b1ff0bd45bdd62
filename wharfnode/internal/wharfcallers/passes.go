package wharfcallers

import (
	"context"
	"math"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/semaphore"

	"ragwortwharf.dev/wharf/wharfbudget"
)

const (
	// MaxHeadBytes bounds the head of a request, in bytes. net/http responds with 431 to a
	// longer one.
	MaxHeadBytes = 64 << 10
	// incomingShare is the share of the runtime's memory for the heads that are being read.
	incomingShare = 1.0 / 16
	// receiveShare is what the kernel may receive ahead of large requests, as a share of the
	// runtime's memory. The runtime doesn't use that memory, but the VM has it.
	receiveShare = 1.0 / 8
	// passBytes is what reading a head takes: the head, and the slices that it grew in.
	passBytes = 3 * MaxHeadBytes
	// connectionBytes is what an idle connection takes: the stack of its goroutine, the two
	// buffers of net/http, and its records.
	connectionBytes = 20 << 10
	// freeBytes are read without a pass. net/http reads them into a buffer that the
	// connection has in any case.
	freeBytes = 4 << 10
	// ReceiveBytes is what the kernel may receive before any of it is read, in bytes. It
	// counts as memory of the node.
	ReceiveBytes = freeBytes
	// largeReceiveBytes is what the kernel may receive ahead of a request that has a pass or
	// a reservation, in bytes. Over a round trip of 16 ms it allows 4 MB/s.
	largeReceiveBytes = 64 << 10
	// headTime bounds the time for which a slow caller has a pass. What the caller has sent
	// is there at once; the rest takes a few round trips, or some repeated segments.
	headTime = 2 * time.Second
)

// Passes counts the connections of callers in the memory of the node, and gives passes to
// them.
type Passes struct {
	memory *wharfbudget.Memory
	free   *semaphore.Weighted
	// large bounds the connections ahead of which the kernel may receive largeReceiveBytes.
	large *semaphore.Weighted
	// unbounded is true if neither is bounded.
	unbounded bool
}

// NewPasses returns the passes of a process whose runtime may use a number of bytes. If the
// number is zero, they aren't bounded.
func NewPasses(memory *wharfbudget.Memory, bytes int64) *Passes {
	if bytes == 0 {
		return &Passes{memory: memory, free: semaphore.NewWeighted(math.MaxInt64), unbounded: true}
	}
	return &Passes{
		memory: memory,
		free:   semaphore.NewWeighted(max(int64(incomingShare*float64(bytes))/passBytes, 1)),
		large:  semaphore.NewWeighted(max(int64(receiveShare*float64(bytes))/largeReceiveBytes, 1)),
	}
}

// Listen returns a listener whose connections need passes.
func (p *Passes) Listen(l net.Listener) net.Listener {
	return &listener{l, p}
}

// ConnContext adds the connection to the context of its requests, which end when the caller has gone.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if own, ok := c.(*conn); ok {
		ctx = own.bind(ctx)
	}
	return context.WithValue(ctx, connKey{}, c)
}

// ConnState follows the connections of a server.
func (p *Passes) ConnState(c net.Conn, state http.ConnState) {
	own, ok := c.(*conn)
	switch state {
	case http.StateNew:
		p.memory.Hold(wharfbudget.CallerConnections, connectionBytes)
	case http.StateActive:
		if ok {
			own.headRead()
		}
	case http.StateIdle:
		if ok {
			own.requestEnded()
		}
	case http.StateClosed, http.StateHijacked:
		p.memory.Release(wharfbudget.CallerConnections, connectionBytes)
		if ok {
			own.ended()
		}
	}
}

// Connections returns the number of connections.
func Connections(memory *wharfbudget.Memory) int64 {
	return memory.Held(wharfbudget.CallerConnections) / connectionBytes
}

// connKey is the key of the connection in a context.
type connKey struct{}

// Admitted returns the pass with which the head of a request was read, because the request
// has a reservation of its own for its head and for what is buffered of its body.
func Admitted(ctx context.Context, body int64) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return
	}
	c.returnPass()
	if body > freeBytes {
		c.receiveMore()
	}
}

// Refused returns the pass of a request that has no reservation.
func Refused(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.returnPass()
	}
}

// listener accepts connections that need passes.
type listener struct {
	net.Listener
	passes *Passes
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, passes: l.passes}, nil
}
