package wharftarget

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"time"

	"ragwortwharf.dev/wharf/wharfadmission"
	"ragwortwharf.dev/wharf/wharfbudget"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/wharfprotocol"
)

const (
	// idleConnTimeout is shorter than that of common servers, so that a target
	// rarely closes a connection at the moment it is used again.
	idleConnTimeout = 3 * time.Second
	// onceIdleTimeout is that of connections for requests which must not run twice.
	// What a target says of a connection that it has forgotten looks like a crash,
	// and such a request can't be tried again. It is below the shortest times after
	// which servers and what lies before them are known to forget, 300 ms.
	onceIdleTimeout = 200 * time.Millisecond
	// targetDialTimeout bounds the set-up of a connection to a target, which is on
	// the own VM.
	targetDialTimeout = time.Second
	// maxIdleConns is the number of idle connections kept to a target.
	maxIdleConns = 256
)

// dispatcher sends requests to targets. The zero dispatcher is ready to use.
type dispatcher struct {
	setUp sync.Once
	// again carries requests that may run twice, and once the others.
	again, once *http.Transport
}

func (d *dispatcher) roundTrip(r *http.Request, idempotent bool) (*http.Response, error) {
	d.setUp.Do(func() {
		d.again, d.once = newTransport(idleConnTimeout), newTransport(onceIdleTimeout)
	})
	if idempotent {
		return d.again.RoundTrip(r)
	}
	return d.once.RoundTrip(r)
}

func newTransport(idle time.Duration) *http.Transport {
	return &http.Transport{
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idle,
		DialContext:         (&net.Dialer{Timeout: targetDialTimeout}).DialContext,
	}
}

// connection is what is known of the connection that a request went over.
type connection struct {
	net.Conn
	idle time.Duration
}

// got reports whether there was a connection, so that the request may have been
// sent.
func (c *connection) got() bool {
	return c.Conn != nil
}

// dispatch sends an admitted call to the target and its answer to the sender.
func (s *Server) dispatch(c *call) (wharfoutcome.Outcome, bool) {
	result := wharfadmission.Cancelled
	started := time.Now()
	// The time that the target waited for calls of its own is not its latency.
	defer func() { c.target.endDispatch(c, time.Since(started)-c.downstream.DownstreamTime, result) }()
	if !c.target.beginDispatch(c) {
		s.abandonKey(c)
		return wharfoutcome.Refuse(wharfoutcome.ReasonLeaving), false
	}
	if o, ok := s.mayDispatch(c); !ok {
		return o, false
	}
	c.dispatched = true
	s.Ledger.Open(c.grant, wharfbudget.ServedCall{
		Grant:    wharfbudget.NewGrant(int(c.head.GetAttempts())),
		Deadline: c.deadline,
		Request:  c.head.GetRequestId(),
		Class:    c.head.GetClass(),
		Depth:    int(c.head.GetDepth()) + 1,
	})
	ctx, cancel := s.dispatchContext(c)
	defer cancel()
	ctx, watched := c.target.monitor.Begin(ctx)
	defer watched.End()
	var conn connection
	response, err := s.client.roundTrip(s.request(c, ctx, &conn), c.head.GetIdempotent())
	if err != nil {
		o := s.failed(c, ctx, conn, err)
		result = resultOf(ctx, o)
		s.settle(c)
		s.finishKey(c, o, nil)
		return o, false
	}
	watched.RecordResponse()
	defer func() { _ = response.Body.Close() }()
	c.arrived = true
	switch v := s.Protocol.Classify(response, c.dispatchInfo); v.Kind {
	case wharfoutcome.NotRun:
		s.settle(c)
		if !c.downstream.DownstreamRefused {
			result = wharfadmission.Shed
		}
		o := wharfoutcome.Refuse(v.Reason).WithRetryAfter(v.RetryAfter)
		s.finishKey(c, o, nil)
		return o, false
	case wharfoutcome.Unknown:
		// What else comes on this connection can't be told apart either.
		_ = conn.Close()
		s.settle(c)
		o := wharfoutcome.Uncertain(v.Reason)
		s.finishKey(c, o, nil)
		return o, false
	}
	return s.relay(c, ctx, response, &result)
}

// dispatchContext bounds a dispatch. A request with the caller's own key goes
// on when its sender is lost, so that a resend finds the answer.
func (s *Server) dispatchContext(c *call) (context.Context, context.CancelFunc) {
	if c.keyed && !c.head.GetKeyMinted() {
		return context.WithDeadline(context.WithoutCancel(c.ctx), c.deadline)
	}
	return context.WithCancel(c.ctx)
}

// request builds the request to the target. Its body can't be rewound, so the
// transport never sends it twice, whatever its headers say.
func (s *Server) request(c *call, ctx context.Context, conn *connection) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn.Conn, conn.idle = info.Conn, info.IdleTime
	}}
	r := (&http.Request{
		Method: c.head.GetMethod(), URL: urlOf(c.target.address, c.head.GetUri()),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: make(http.Header), Body: c.body,
	}).WithContext(httptrace.WithClientTrace(ctx, trace))
	r.ContentLength = -1
	if c.head.GetContentLength() > 0 {
		r.ContentLength = c.head.GetContentLength()
	}
	wharfwire.UnpackHeaders(r.Header, c.head.GetHeaders())
	if _, set := r.Header["User-Agent"]; !set {
		r.Header.Set("User-Agent", "")
	}
	c.dispatchInfo = wharfprotocol.Dispatch{
		RequestID: c.head.GetRequestId(),
		Host:      c.head.GetHost(),
		Caller:    c.head.GetCaller(),
		Instance:  c.target.instance(),
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

// urlOf returns the URL of a request to a target. The path goes on as the caller
// wrote it, without being decoded and encoded again.
func urlOf(address, uri string) *url.URL {
	u := &url.URL{Scheme: "http", Host: address}
	if strings.HasPrefix(uri, "//") {
		u.Path, u.RawQuery, _ = strings.Cut(uri, "?")
		return u
	}
	u.Opaque = uri
	return u
}

// settle closes the grant of the call and keeps what it says of those below.
func (s *Server) settle(c *call) {
	c.downstream = s.Ledger.Close(c.grant)
}

func resultOf(ctx context.Context, o wharfoutcome.Outcome) wharfadmission.Result {
	switch {
	case o.Reason == wharfoutcome.ReasonDeadline:
		return wharfadmission.DeadlineExceeded
	case ctx.Err() != nil || o.Reason == wharfoutcome.ReasonBodyIncomplete:
		return wharfadmission.Cancelled
	default:
		return wharfadmission.Failed
	}
}
