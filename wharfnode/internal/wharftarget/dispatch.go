package wharftarget

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"ragwortwharf.dev/wharf/wharfadmission"
	"ragwortwharf.dev/wharf/wharfbudget"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfsocket"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/wharfevents"
	"ragwortwharf.dev/wharfnode/wharfprotocol"
)

const (
	// idleConnTimeout is the idle timeout of connections for idempotent requests. It
	// is shorter than that of common servers, so that a target rarely closes a
	// connection at the moment it is reused.
	idleConnTimeout = 3 * time.Second
	// nonIdempotentIdleTimeout is the idle timeout of connections for requests that
	// must not run twice. If the other end has already dropped an idle connection,
	// its reset looks like a crash of the target, and such a request can't be
	// retried. The timeout is below 300 ms, the shortest time after which servers
	// and the proxies in front of them are known to drop connections.
	nonIdempotentIdleTimeout = 200 * time.Millisecond
	// targetDialTimeout bounds the set-up of a connection to a target, which runs on
	// the same VM.
	targetDialTimeout = time.Second
	// maxIdleConns is the maximum number of idle connections to a target.
	maxIdleConns = 256
	// maxResponseHeaderBytes bounds the head of a response, in bytes, and so what a
	// faulty target can make the node hold. The head of a request has the same bound.
	maxResponseHeaderBytes = 64 << 10
)

// dispatcher sends requests to targets. The zero dispatcher is ready to use. It is
// safe for concurrent use.
type dispatcher struct {
	initOnce sync.Once
	// idempotentTransport carries requests that may run twice, and
	// nonIdempotentTransport carries all others.
	idempotentTransport, nonIdempotentTransport *http.Transport

	connections wharfsocket.Count
}

func (d *dispatcher) roundTrip(r *http.Request, idempotent bool) (*http.Response, error) {
	d.initOnce.Do(func() {
		d.idempotentTransport, d.nonIdempotentTransport = d.newTransport(idleConnTimeout), d.newTransport(nonIdempotentIdleTimeout)
	})
	if idempotent {
		return d.idempotentTransport.RoundTrip(r)
	}
	return d.nonIdempotentTransport.RoundTrip(r)
}

func (d *dispatcher) newTransport(idle time.Duration) *http.Transport {
	return &http.Transport{
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConns,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		IdleConnTimeout:        idle,
		DialContext:            d.dial,
	}
}

// dispatch sends the request of an admitted call to the target and relays the
// response to the sender.
func (s *Server) dispatch(c *call) (wharfoutcome.Outcome, bool) {
	result := wharfadmission.Cancelled
	started := time.Now()
	// The latency of the target excludes the time it waited for downstream calls.
	defer func() {
		held := time.Since(started)
		s.Metrics.AccountSlot(c.head.GetAccount(), held)
		c.target.endDispatch(c, held-c.downstream.DownstreamTime, result)
	}()
	// The request may have been quarantined while it waited for a slot.
	if o, pass := s.checkQuarantined(c); !pass {
		s.abandonKey(c)
		return o, false
	}
	if reason := c.target.beginDispatch(c); reason != wharfoutcome.ReasonNone {
		s.abandonKey(c)
		return wharfoutcome.Refuse(reason), false
	}
	if o, ok := s.tryDispatchKey(c); !ok {
		return o, false
	}
	c.dispatched, c.dispatchedAt = true, time.Now()
	s.Ledger.Open(c.grant, wharfbudget.ServedCall{
		Grant:    wharfbudget.NewGrant(int(c.head.GetAttempts())),
		Deadline: c.deadline,
		Request:  c.head.GetRequestId(),
		Class:    c.head.GetClass(),
		Depth:    int(c.head.GetDepth()) + 1,
		Rank:     int(c.head.GetRank()),
		Priority: uint16(c.ticketPriority()),
		Route:    c.head.GetRoute(),
		Account:  c.head.GetAccount(),
		Repeats:  c.head.GetRepeats(),
	})
	s.Backpressure.RecordServed(c.head.GetRoute())
	ctx, monitored := c.target.monitor.Begin(dispatchContext(c), c.deadline, c.head.GetIdempotent())
	defer monitored.End()
	defer func() { c.conn.end() }()
	response, v, err := s.exchange(ctx, c, monitored)
	if err != nil {
		o := s.failureOutcome(c, ctx, c.conn, err)
		result = resultOf(ctx, o)
		s.closeGrant(c)
		s.finishKey(c, o, nil)
		return o, false
	}
	defer func() { _ = response.Body.Close() }()
	switch v.Kind {
	case wharfoutcome.NotRun:
		s.closeGrant(c)
		// After a refused downstream call, the refusal of the target doesn't show
		// that the target itself is overloaded.
		if !c.downstream.DownstreamRefused {
			result = wharfadmission.Shed
		}
		o := wharfoutcome.Refuse(v.Reason).WithRetryAfter(v.RetryAfter)
		s.finishKey(c, o, nil)
		return o, false
	case wharfoutcome.Unknown:
		// The response belongs to another request or doesn't come from the target.
		// Later responses on this connection could not be matched to their requests
		// either.
		c.conn.close()
		s.Log.Emit(wharfevents.ForeignResponse,
			wharfevents.Field{Name: "target", Value: c.target.address},
			c.requestField(),
			wharfevents.Field{Name: "status", Value: response.StatusCode},
			wharfevents.Field{Name: "unnamed-refusal", Value: v.Unnamed})
		s.closeGrant(c)
		o := wharfoutcome.Uncertain(v.Reason)
		s.finishKey(c, o, nil)
		return o, false
	}
	return s.relay(c, ctx, response, &result)
}

// dispatchContext returns the context of a dispatch. A request with a caller's
// idempotency key continues when its sender disconnects, so that a resend gets the
// stored response.
func dispatchContext(c *call) context.Context {
	if c.keyed && !c.head.GetKeyMinted() {
		return context.WithoutCancel(c.ctx)
	}
	return c.ctx
}

// request returns the request to the target and fills conn when the transport has
// picked a connection. The transport never sends the request twice, whatever its
// headers are: a body can't be rewound, and conn prevents the second send of a request
// without one.
func (s *Server) request(c *call, ctx context.Context, conn *connection) *http.Request {
	r := (&http.Request{
		Method: c.head.GetMethod(), URL: requestURL(c.target.address, c.head.GetUri()),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: c.headers,
	}).WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: conn.use}))
	if !c.body.empty {
		r.Body, r.ContentLength = c.body, -1
		if c.head.GetContentLength() > 0 {
			r.ContentLength = c.head.GetContentLength()
		}
		r.GetBody = func() (io.ReadCloser, error) { return conn.unsent(c.body) }
	}
	if _, set := r.Header["User-Agent"]; !set {
		r.Header.Set("User-Agent", "")
	}
	c.dispatchInfo = wharfprotocol.Dispatch{
		RequestID: c.head.GetRequestId(),
		Host:      c.head.GetHost(),
		Caller:    c.head.GetCaller(),
		Account:   c.authenticatedAccount(),
		Instance:  c.instance,
		Remaining: time.Until(c.deadline),
		Context: wharfwire.Context{
			RequestID: c.head.GetRequestId(),
			Grant:     uint64(c.grant),
			Depth:     int(c.head.GetDepth()) + 1,
			Attempts:  int(c.head.GetAttempts()),
		}.String(),
	}
	s.Protocol.SetRequestHeaders(r, c.dispatchInfo)
	return r
}

// authenticatedAccount returns the client account whose key the caller sent, empty if there is
// none. A call that serves a request of an account has no key itself.
func (c *call) authenticatedAccount() string {
	if !c.head.GetAuthenticated() {
		return ""
	}
	return c.head.GetAccount()
}

// closeGrant closes the ledger entry of the call and stores the results of its
// downstream calls in c.
func (s *Server) closeGrant(c *call) {
	c.downstream = s.Ledger.Close(c.grant)
}

// resultOf returns the result of a failed dispatch for the limiter of the target.
func resultOf(ctx context.Context, o wharfoutcome.Outcome) wharfadmission.Result {
	switch {
	case o.Reason == wharfoutcome.ReasonDeadline:
		return wharfadmission.DeadlineExceeded
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSecondSend) || o.Reason == wharfoutcome.ReasonBodyIncomplete:
		return wharfadmission.Cancelled
	default:
		return wharfadmission.Failed
	}
}
