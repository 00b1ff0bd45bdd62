package wharftarget

import (
	"context"
	"errors"
	"hash/maphash"
	"io"
	"net"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfsocket"
	"ragwortwharf.dev/wharfnode/wharfprotocol"
)

// maxRefusals is the number of refusals after which a connection is not used again. It
// bounds what a connection remembers.
const maxRefusals = 64

// writeWait bounds the wait for a write that has ended and not returned, on a busy processor.
const writeWait = 100 * time.Millisecond

func (d *dispatcher) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.connections.Dial(wharfsocket.Plain(targetDialTimeout))(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newTargetConn(conn), nil
}

func newTargetConn(conn net.Conn) *targetConn {
	c := &targetConn{Conn: conn, writing: make(chan struct{}, 1)}
	c.judged.L = &c.mu
	return c
}

// errSecondSend is the cancellation cause of a request that the HTTP transport would send
// twice, and errBlocked the error of a write to a blocked targetConn.
var (
	errSecondSend = errors.New("the HTTP transport must not send a request twice")
	errBlocked    = errors.New("the connection to the target must not be used")
)

// targetConn is a connection to a target. Once it is blocked, it sends nothing.
//
// A faulty target may write a refusal again when a later response is expected. So a
// connection that has carried the refusal of a request never carries this request again, and
// one that has carried a refusal that names no request carries none.
type targetConn struct {
	net.Conn
	blocked atomic.Bool
	// writing has an element during a write, and writeFailed is true once one has failed.
	writing     chan struct{}
	writeFailed atomic.Bool

	mu sync.Mutex
	// active is the number of requests that use the connection, and unjudged the number of
	// those whose response was not classified. The HTTP transport may pick the connection for the
	// next request before the response to the last one is classified, which it then awaits.
	active, unjudged int
	// judged wakes the requests that wait for that.
	judged sync.Cond
	// refused holds hashes of the ids of the requests whose refusals were received.
	refused []uint64
	// spent is true if no further request may use the connection. It is closed as soon as no
	// request uses it.
	spent bool
}

var refusedSeed = maphash.MakeSeed()

func (c *targetConn) Write(p []byte) (int, error) {
	if c.blocked.Load() {
		return 0, errBlocked
	}
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeFailed.Store(true)
	}
	return n, err
}

// allWritten reports whether no write has failed. It waits for one that hasn't returned, up to
// writeWait.
func (c *targetConn) allWritten() bool {
	timer := time.NewTimer(writeWait)
	defer timer.Stop()
	select {
	case c.writing <- struct{}{}:
		<-c.writing
		return !c.writeFailed.Load()
	case <-timer.C:
		return false
	}
}

// begin records that a request uses the connection. It returns false and blocks the connection
// if the request must not use it. clean reports whether the connection has carried no refusal.
func (c *targetConn) begin(requestID string) (clean, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.unjudged > 0 {
		c.judged.Wait()
	}
	if c.spent || len(c.refused) > 0 && slices.Contains(c.refused, maphash.String(refusedSeed, requestID)) {
		c.blocked.Store(true)
		return false, false
	}
	clean = len(c.refused) == 0
	c.active++
	c.unjudged++
	return clean, true
}

// judge records the meaning of the response to a request.
func (c *targetConn) judge(requestID string, v wharfprotocol.Classification) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unjudged--
	c.judged.Broadcast()
	if v.Kind == wharfoutcome.NotRun {
		c.refused = append(c.refused, maphash.String(refusedSeed, requestID))
	}
	if v.Kind == wharfoutcome.Unknown || v.Unnamed || len(c.refused) >= maxRefusals {
		c.spent = true
	}
}

// end records that a request doesn't use the connection any more. judged is false if it has got no
// response.
func (c *targetConn) end(judged bool) {
	c.mu.Lock()
	c.active--
	if !judged {
		c.unjudged--
		c.judged.Broadcast()
	}
	closing := c.spent && c.active == 0
	c.mu.Unlock()
	if closing {
		_ = c.Close()
	}
}

// connection is the connection that carries a request.
type connection struct {
	requestID string
	// cancel ends the request.
	cancel context.CancelCauseFunc
	// conn is nil if there was no connection.
	conn *targetConn
	// idle is the time for which the connection was idle before.
	idle time.Duration
	// opened is true if the connection was opened for the request.
	opened bool
	// clean is true if the connection had carried no refusal before the request.
	clean bool
	// judged is true once the response was classified.
	judged bool
}

// use records the connection that the transport has picked. The transport picks another one
// if nothing was written to a blocked connection, and to send a request without a body again
// after a kept connection has failed. In that case, the first send may have reached the target,
// so the second is prevented.
func (c *connection) use(info httptrace.GotConnInfo) {
	picked, ok := info.Conn.(*targetConn)
	if !ok {
		return
	}
	if c.conn != nil {
		picked.blocked.Store(true)
		c.cancel(errSecondSend)
		return
	}
	if clean, ok := picked.begin(c.requestID); ok {
		c.conn, c.idle, c.opened, c.clean = picked, info.IdleTime, !info.Reused, clean
	}
}

// judge returns what a response means on this connection. A refusal that names no request may
// be an earlier one, unless it is the first on its connection. A response on a blocked connection,
// on which the request wasn't sent, is that to another request.
func (c *connection) judge(v wharfprotocol.Classification) wharfprotocol.Classification {
	if c.conn == nil {
		return wharfprotocol.Classification{Kind: wharfoutcome.Unknown, Reason: wharfoutcome.ReasonResponseLost}
	}
	if v.Kind == wharfoutcome.NotRun && v.Unnamed && !c.clean {
		v = wharfprotocol.Classification{Kind: wharfoutcome.Unknown, Reason: wharfoutcome.ReasonResponseLost, Unnamed: true}
	}
	c.judged = true
	c.conn.judge(c.requestID, v)
	return v
}

// unsent returns the body of a request of which the HTTP transport has sent nothing, because it
// has picked a blocked connection, so that it can pick another one. It reads a body only
// after it has sent the head.
func (c *connection) unsent(body *callBody) (io.ReadCloser, error) {
	if c.conn != nil || body.begun.Load() {
		return nil, errSecondSend
	}
	return body, nil
}

// established reports whether the request had a connection and so may have been sent.
func (c *connection) established() bool {
	return c.conn != nil
}

// sentAll reports whether all of a body was sent to the target.
func (c *connection) sentAll(body *callBody) bool {
	return c.conn != nil && (body.empty || body.read.Load()) && c.conn.allWritten()
}

// close closes the connection.
func (c *connection) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

// end records that the request is over.
func (c *connection) end() {
	if c.conn != nil {
		c.conn.end(c.judged)
	}
}
