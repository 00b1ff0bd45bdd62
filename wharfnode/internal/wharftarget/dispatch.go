package wharftarget

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"ragwortwharf.dev/wharf/wharfadmission"
	"ragwortwharf.dev/wharf/wharfbudget"
	"ragwortwharf.dev/wharf/wharfhome"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfquarantine"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/internal/wharfevents"
)

const (
	// idleConnTimeout is shorter than that of common servers, so that a target
	// rarely closes a connection at the moment it is used again.
	idleConnTimeout = 3 * time.Second
	// staleIdle is the idle time after which a lost connection says nothing of
	// the target if it still accepts new ones.
	staleIdle = time.Second
	// probeTimeout bounds the probe of a target whose connection broke.
	probeTimeout = 200 * time.Millisecond
	// maxIdleConns is the number of idle connections kept to a target.
	maxIdleConns = 256
	// spreadTimeout bounds how long an answer waits for others to learn of a
	// crash.
	spreadTimeout = 300 * time.Millisecond
)

// dispatcher sends requests to targets. The zero dispatcher is ready to use.
type dispatcher struct {
	once      sync.Once
	transport *http.Transport
}

func (d *dispatcher) roundTrip(r *http.Request) (*http.Response, error) {
	d.once.Do(func() {
		d.transport = &http.Transport{
			DisableCompression:  true,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleConnTimeout,
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		}
	})
	return d.transport.RoundTrip(r)
}

// connection is what is known of the connection that a request went over.
type connection struct {
	got  bool
	idle time.Duration
}

// dispatch sends an admitted call to the target and its answer to the sender.
func (s *Server) dispatch(c *call) (wharfoutcome.Outcome, bool) {
	c.target.took(c)
	result := wharfadmission.Withdrawn
	started := time.Now()
	// The time that the target waited for calls of its own is not its latency.
	defer func() { c.target.ended(c, time.Since(started)-c.below.Below, result) }()
	if o, ok := s.mayDispatch(c); !ok {
		return o, false
	}
	c.dispatched = true
	s.Ledger.Open(c.grant, wharfbudget.Entry{
		Grant:    wharfbudget.NewGrant(int(c.head.GetAttempts())),
		Deadline: c.deadline,
		Request:  c.head.GetRequestId(),
		Class:    c.head.GetClass(),
		Depth:    int(c.head.GetDepth()) + 1,
	})
	ctx, cancel := s.dispatchContext(c)
	defer cancel()
	var conn connection
	response, err := s.client.roundTrip(s.request(c, ctx, &conn))
	if err != nil {
		o := s.failed(c, ctx, conn, err)
		result = resultOf(ctx, o)
		s.settle(c)
		s.finishKey(c, o, nil)
		return o, false
	}
	defer func() { _ = response.Body.Close() }()
	if o, refused := refusedByTarget(response); refused {
		s.settle(c)
		if !c.below.RefusedBelow {
			result = wharfadmission.Shed
		}
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
		conn.got = true
		conn.idle = info.IdleTime
	}}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), c.head.GetMethod(), "http://"+c.target.info.Address+c.head.GetUri(), c.body)
	if err != nil {
		// The sender's node parsed the same method and address before.
		r = (&http.Request{Method: c.head.GetMethod(), Header: http.Header{}}).WithContext(ctx)
	}
	r.ContentLength = -1
	if c.head.GetContentLength() > 0 {
		r.ContentLength = c.head.GetContentLength()
	}
	wharfwire.UnpackHeaders(r.Header, c.head.GetHeaders())
	if _, set := r.Header["User-Agent"]; !set {
		r.Header.Set("User-Agent", "")
	}
	r.Header.Set(wharfwire.HeaderContext, wharfwire.Context{
		RequestID: c.head.GetRequestId(),
		Grant:     uint64(c.grant),
		Depth:     int(c.head.GetDepth()) + 1,
		Attempts:  int(c.head.GetAttempts()),
	}.String())
	r.Header.Set(wharfwire.HeaderTimeout, strconv.FormatInt(max(time.Until(c.deadline).Milliseconds(), 1), 10))
	return r
}

// refusedByTarget reports whether the target itself says that it did not run
// the request.
func refusedByTarget(response *http.Response) (wharfoutcome.Outcome, bool) {
	if response.Header.Get(wharfwire.HeaderOutcome) != wharfoutcome.NotRun.String() {
		return wharfoutcome.Outcome{}, false
	}
	reason := wharfoutcome.Reason(response.Header.Get(wharfwire.HeaderReason))
	if reason == wharfoutcome.ReasonNone {
		reason = wharfoutcome.ReasonOverload
	}
	o := wharfoutcome.Refuse(reason)
	seconds, err := strconv.Atoi(response.Header.Get(wharfwire.HeaderRetryAfter))
	if err == nil && seconds > 0 {
		o = o.WithRetryAfter(time.Duration(seconds) * time.Second)
	}
	return o, true
}

// failed decides what a dispatch without an answer means.
func (s *Server) failed(c *call, ctx context.Context, conn connection, err error) wharfoutcome.Outcome {
	if !conn.got {
		// There never was a connection, so nothing was sent.
		return wharfoutcome.Refuse(c.cause(ctx, wharfoutcome.ReasonUnreachable))
	}
	if ctx.Err() != nil {
		return wharfoutcome.Uncertain(c.cause(ctx, wharfoutcome.ReasonCancelled))
	}
	if c.body.broken.Load() {
		return wharfoutcome.Uncertain(wharfoutcome.ReasonBodyIncomplete)
	}
	s.Log.Emit(wharfevents.DispatchFailed,
		wharfevents.Field{Name: "target", Value: c.target.info.Address},
		wharfevents.Field{Name: "error", Value: err})
	if conn.idle > staleIdle && s.accepts(c) {
		return wharfoutcome.Uncertain(wharfoutcome.ReasonAnswerLost)
	}
	s.blame(c)
	return wharfoutcome.Uncertain(wharfoutcome.ReasonTargetCrashed)
}

// cause names what ended a dispatch, if it wasn't the target.
func (c *call) cause(ctx context.Context, otherwise wharfoutcome.Reason) wharfoutcome.Reason {
	switch {
	case !time.Now().Before(c.deadline):
		return wharfoutcome.ReasonDeadline
	case ctx.Err() != nil:
		return wharfoutcome.ReasonCancelled
	default:
		return otherwise
	}
}

// accepts reports whether the target takes new connections.
func (s *Server) accepts(c *call) bool {
	conn, err := (&net.Dialer{Timeout: probeTimeout}).DialContext(c.ctx, "tcp", c.target.info.Address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// blame makes the requests in flight suspects, and tells the other nodes of
// the service before the sender can try again.
func (s *Server) blame(c *call) {
	fingerprints, crash := c.target.crashed(c)
	if fingerprints == nil {
		return
	}
	address := c.target.info.Address
	s.Log.Emit(wharfevents.TargetCrashed,
		wharfevents.Field{Name: "target", Value: address},
		wharfevents.Field{Name: "in-flight", Value: len(fingerprints)})
	id := wharfquarantine.CrashID{Target: address, Incarnation: s.View.Incarnation(), Number: crash}
	entries := s.Quarantine.Crash(time.Now(), id, fingerprints)
	s.reportQuarantined(entries)
	s.spread(c, entries)
}

// spread tells the other nodes of the service before the answer goes on.
func (s *Server) spread(c *call, entries []wharfquarantine.Entry) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), spreadTimeout)
	defer cancel()
	s.Spreader.Spread(ctx, c.head.GetService(), entries)
}

func (s *Server) reportQuarantined(entries []wharfquarantine.Entry) {
	for _, e := range entries {
		if !e.Quarantined {
			continue
		}
		fp := wharfevents.Field{Name: "fingerprint", Value: strconv.FormatUint(uint64(e.Fingerprint), 16)}
		s.Log.Emit(wharfevents.Quarantined, fp)
		s.Auditor.Audit("quarantine", fp)
	}
}

// succeeded forgives a suspected request that ran without harm.
func (s *Server) succeeded(c *call) {
	if e, forgiven := s.Quarantine.Succeeded(time.Now(), c.fingerprint); forgiven {
		s.spread(c, []wharfquarantine.Entry{e})
	}
}

// settle closes the grant of the call and keeps what it says of those below.
func (s *Server) settle(c *call) {
	c.below = s.Ledger.Close(c.grant)
}

func resultOf(ctx context.Context, o wharfoutcome.Outcome) wharfadmission.Result {
	switch {
	case o.Reason == wharfoutcome.ReasonDeadline:
		return wharfadmission.Late
	case ctx.Err() != nil || o.Reason == wharfoutcome.ReasonBodyIncomplete:
		return wharfadmission.Withdrawn
	default:
		return wharfadmission.Failed
	}
}

// callBody reads the body of a call from its frames.
type callBody struct {
	stream callStream
	rest   []byte
	sum    wharfwire.BodySum
	ended  bool
	err    error
	// broken says that the sender broke off, so that the target isn't blamed
	// for a request that failed.
	broken atomic.Bool
}

// newCallBody returns the body of a call that began with a frame.
func newCallBody(stream callStream, first *wharfwire.CallFrame) *callBody {
	b := &callBody{stream: stream}
	b.err = b.take(first)
	return b
}

// take takes the part of the body that a frame carries.
func (b *callBody) take(frame *wharfwire.CallFrame) error {
	b.rest = frame.GetChunk()
	b.sum.Add(b.rest)
	end := frame.GetEnd()
	if end == nil {
		return nil
	}
	if !b.sum.Matches(end) {
		return b.breakOff()
	}
	b.ended = true
	return nil
}

func (b *callBody) breakOff() error {
	b.broken.Store(true)
	return io.ErrUnexpectedEOF
}

// Read returns the next bytes. The end is only reported after a closing frame
// that matches.
func (b *callBody) Read(p []byte) (int, error) {
	for len(b.rest) == 0 && b.err == nil {
		if b.ended {
			return 0, io.EOF
		}
		frame, err := b.stream.Recv()
		if err != nil {
			return 0, b.breakOff()
		}
		b.err = b.take(frame)
	}
	if b.err != nil {
		return 0, b.err
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// Close has nothing to free: the stream ends with the call.
func (b *callBody) Close() error {
	return nil
}

// keptAnswer collects the answer of a keyed call while it passes.
type keptAnswer struct {
	answer wharfhome.Answer
	over   bool
}

func (k *keptAnswer) add(p []byte) {
	if k.over || len(k.answer.Body)+len(p) > wharfhome.MaxKeptBody {
		k.over = true
		k.answer.Body = nil
		return
	}
	k.answer.Body = append(k.answer.Body, p...)
}
