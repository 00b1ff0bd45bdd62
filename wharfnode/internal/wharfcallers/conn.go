package wharfcallers

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ragwortwharf.dev/wharf/wharfbudget"
)

// http2Preface is how a connection with HTTP/2 begins. Such a connection has buffers of a
// fixed size for all its requests.
const http2Preface = "PRI"

// conn is a connection of a caller. Its requests come one after another. While a handler
// runs, net/http reads from the connection in another goroutine.
type conn struct {
	net.Conn
	passes *Passes
	// handled is true once the head of a request was read, until its response is sent.
	handled atomic.Bool
	// The next fields belong to the goroutine that reads heads and runs the handler.

	// read is the number of bytes that were read of the head.
	read int
	// http2 is true if the connection has HTTP/2.
	http2   bool
	hasPass bool
	// large is true if the kernel may receive largeReceiveBytes ahead.
	large bool

	mu     sync.Mutex
	closed bool
	// gone ends the requests of the connection.
	gone context.CancelFunc
	// watched watches whether the caller goes while it waits for a response. It is nil if net/http
	// does, or if the caller waits for none.
	watched *watch
	// stopWaiting ends the wait for a pass. It is nil if there is none.
	stopWaiting context.CancelFunc
}

// Read reads what the caller sends. Beyond freeBytes of a head it waits for a pass.
func (c *conn) Read(p []byte) (int, error) {
	if c.handled.Load() || c.http2 {
		n, err := c.Conn.Read(p)
		if n == 1 && len(p) == 1 && !c.http2 {
			c.watch()
		}
		return n, err
	}
	if c.read >= freeBytes && !c.hasPass {
		if err := c.takePass(); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	c.http2 = c.read == 0 && n >= len(http2Preface) && string(p[:len(http2Preface)]) == http2Preface
	c.read += n
	return n, err
}

// takePass waits for a pass, or until the connection is closed.
func (c *conn) takePass() error {
	if !c.passes.free.TryAcquire(1) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		if !c.setWaiting(cancel) {
			return net.ErrClosed
		}
		if err := c.passes.free.Acquire(ctx, 1); err != nil {
			return net.ErrClosed
		}
		c.setWaiting(nil)
	}
	c.hasPass = true
	c.passes.memory.Hold(wharfbudget.IncomingHeads, passBytes)
	c.receiveMore()
	return c.SetReadDeadline(time.Now().Add(headTime))
}

// setWaiting sets what ends the wait for a pass. It returns false if the connection is closed.
func (c *conn) setWaiting(cancel context.CancelFunc) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopWaiting = cancel
	return !c.closed
}

// bind returns a context for the requests of the connection. It ends when the connection is closed.
func (c *conn) bind(ctx context.Context) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gone = cancel
	return ctx
}

// watch begins to watch whether the caller goes. While a handler runs, net/http reads one byte to
// learn that, and gets the first byte of the next request if the caller has sent that already.
func (c *conn) watch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.watched != nil || c.gone == nil || !canWatch(c.Conn) {
		return
	}
	c.watched = &watch{conn: c.Conn, gone: c.gone, ended: make(chan struct{})}
	go c.watched.run()
}

// endWatch ends the watch, if there is one.
func (c *conn) endWatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watched != nil {
		close(c.watched.ended)
		c.watched = nil
	}
}

// returnPass returns the pass if the connection has one.
func (c *conn) returnPass() {
	if c.http2 || !c.hasPass {
		return
	}
	c.hasPass = false
	c.passes.memory.Release(wharfbudget.IncomingHeads, passBytes)
	c.passes.free.Release(1)
}

// receiveMore lets the kernel receive more ahead, if enough memory is left for it. TCP can't
// take that back, so that it holds until the connection is closed.
func (c *conn) receiveMore() {
	if c.http2 || c.large || c.passes.unbounded || !c.passes.large.TryAcquire(1) {
		return
	}
	c.large = true
	c.passes.memory.Hold(wharfbudget.ReceiveBuffers, largeReceiveBytes)
	if tcp, ok := c.Conn.(interface{ SetReadBuffer(bytes int) error }); ok {
		// The error is ignored: the connection is closed then.
		_ = tcp.SetReadBuffer(largeReceiveBytes)
	}
}

// ended records that the connection has ended.
func (c *conn) ended() {
	c.requestEnded()
	c.endWatch()
	if c.large {
		c.large = false
		c.passes.memory.Release(wharfbudget.ReceiveBuffers, largeReceiveBytes)
		c.passes.large.Release(1)
	}
}

// headRead records that the head of a request was read, or that it is faulty.
func (c *conn) headRead() {
	c.handled.Store(true)
}

// requestEnded records that the response was sent, or that the connection has ended. The time
// in which the caller had to read that response doesn't bound the next one.
func (c *conn) requestEnded() {
	if c.http2 {
		return
	}
	c.returnPass()
	c.endWatch()
	c.read = 0
	c.handled.Store(false)
	// The error is ignored: the connection is closed then.
	_ = c.SetWriteDeadline(time.Time{})
}

// CloseWrite ends the sending side, so that a caller who still sends gets the response.
// net/http then waits for the caller and reads nothing.
func (c *conn) CloseWrite() error {
	c.returnPass()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection and ends its wait for a pass.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	if c.gone != nil {
		c.gone()
	}
	if c.stopWaiting != nil {
		c.stopWaiting()
	}
	c.mu.Unlock()
	return c.Conn.Close()
}
