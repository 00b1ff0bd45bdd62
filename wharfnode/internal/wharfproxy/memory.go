package wharfproxy

import (
	"net/http"
	"time"

	"ragwortwharf.dev/wharf/wharfbudget"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharfnode/internal/wharfcallers"
)

// reservation is what a request holds of the memory of the node. Only the goroutine of the
// request uses it.
type reservation struct {
	memory               *wharfbudget.Memory
	head, body, response int64
}

const (
	// requestBytes is what a request takes beside its head and body, in bytes: the stacks of
	// its goroutines, and the buffers of a connection.
	requestBytes = 24 << 10
	// copies is how often the node holds a head or body: as received, and as sent.
	copies = 2
	// memoryRetryAfter is the retry-after hint of a request that is refused for memory. What
	// holds it are requests of usual length.
	memoryRetryAfter = 250 * time.Millisecond
)

// reserve reserves the memory that the request needs, before its body is read. A call that
// a service makes to serve a request takes the place of the most important rank, because
// the work on that request would be lost otherwise.
func (p *Proxy) reserve(c *call) (wharfoutcome.Outcome, bool) {
	rank := c.policy.Class.Rank
	if c.depth > 0 {
		rank = 0
	}
	body := min(c.r.ContentLength, maxBufferedBody)
	if body < 0 {
		body = maxBufferedBody
	}
	if !c.memory.reserve(wharfbudget.Heads, rank, requestBytes+copies*headBytes(c.r)) ||
		!c.memory.reserve(wharfbudget.Bodies, rank, copies*body) {
		return wharfoutcome.Refuse(wharfoutcome.ReasonMemory).WithRetryAfter(memoryRetryAfter), false
	}
	wharfcallers.Admitted(c.ctx, body)
	return wharfoutcome.Outcome{}, true
}

// reserve reserves bytes until the request ends. It reports whether there were enough.
func (m *reservation) reserve(h wharfbudget.Holder, rank int, bytes int64) bool {
	if !m.memory.Reserve(h, rank, bytes) {
		return false
	}
	*m.field(h) += bytes
	return true
}

// hold counts bytes as held by the request until it ends.
func (m *reservation) hold(h wharfbudget.Holder, bytes int64) {
	m.memory.Hold(h, bytes)
	*m.field(h) += bytes
}

// release ends the holding of bytes.
func (m *reservation) release(h wharfbudget.Holder, bytes int64) {
	m.memory.Release(h, bytes)
	*m.field(h) -= bytes
}

// holdResponse sets the bytes of the response that the node holds.
func (m *reservation) holdResponse(bytes int64) {
	m.hold(wharfbudget.Responses, bytes-m.response)
}

// end releases all that the request still holds.
func (m *reservation) end() {
	m.release(wharfbudget.Heads, m.head)
	m.release(wharfbudget.Bodies, m.body)
	m.release(wharfbudget.Responses, m.response)
}

func (m *reservation) field(h wharfbudget.Holder) *int64 {
	switch h {
	case wharfbudget.Heads:
		return &m.head
	case wharfbudget.Bodies:
		return &m.body
	default:
		return &m.response
	}
}

// headBytes returns the length of the head of a request, without separators.
func headBytes(r *http.Request) int64 {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return int64(n)
}
