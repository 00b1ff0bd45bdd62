package wharftarget

import (
	"context"
	"io"
	"net/http"
	"time"

	"ragwortwharf.dev/wharf/wharfbudget"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharfnode/internal/wharfliveness"
	"ragwortwharf.dev/wharfnode/wharfevents"
	"ragwortwharf.dev/wharfnode/wharfprotocol"
)

const (
	// maxSends bounds how often a call is sent to a target that refuses it. A target that
	// refuses half of its calls refuses one in 4,000 so often.
	maxSends = 12
	// maxDiscarded bounds the body of a refusal that is read so that the connection can be
	// used again, in bytes, and discardTimeout the time for that.
	maxDiscarded   = 4 << 10
	discardTimeout = 20 * time.Millisecond
)

// exchange sends the request of a call to the target, again as long as the target refuses it
// and it may be repeated. It returns the last response and what it means.
func (s *Server) exchange(ctx context.Context, c *call, monitored *wharfliveness.Call) (*http.Response, wharfprotocol.Classification, error) {
	c.target.countSend(c, s.RepeatLimit)
	for sends := 1; ; sends++ {
		c.conn = connection{requestID: c.head.GetRequestId(), cancel: monitored.Cancel}
		response, err := s.client.roundTrip(s.request(c, ctx, &c.conn), c.head.GetIdempotent())
		if c.conn.opened {
			s.Metrics.TargetConnection()
		}
		if err != nil {
			return nil, wharfprotocol.Classification{}, err
		}
		monitored.RecordResponse()
		c.arrived = true
		v := c.conn.judge(s.classify(response, c))
		if v.Kind != wharfoutcome.Unknown && v.Reason != wharfoutcome.ReasonNoTarget {
			s.recordStatus(c, s.Protocol.TargetStatus(response.Header))
		}
		refused := v.Kind == wharfoutcome.NotRun && v.Reason == wharfoutcome.ReasonOverload
		s.recordRefusal(c, refused)
		if !refused || sends == maxSends || !s.mayRepeat(ctx, c) || !discard(response, &c.conn) {
			c.target.recordEnd(c, refused)
			return response, v, nil
		}
		c.conn.end()
		c.refused = true
		s.Ledger.MarkRepeated(c.grant)
		s.Metrics.TargetRepeat()
		monitored.RecordSend()
	}
}

// classify returns what a response means. No request asks for another protocol, so a final
// response has at least status 200. Bytes with a status that no response has are none: net/http
// takes 000 for 0, and accepts up to 999.
func (s *Server) classify(response *http.Response, c *call) wharfprotocol.Classification {
	if response.StatusCode < http.StatusOK || response.StatusCode > wharfprotocol.MaxStatus || continuesHead(response) {
		return wharfprotocol.Classification{Kind: wharfoutcome.Unknown, Reason: wharfoutcome.ReasonResponseLost}
	}
	return s.Protocol.Classify(response, c.dispatchInfo)
}

// discard reads the body of a refusal, so that its connection can be used again. It returns
// false and reads nothing if the body is long or of unknown length.
func discard(response *http.Response, conn *connection) bool {
	if response.ContentLength < 0 || response.ContentLength > maxDiscarded {
		return false
	}
	timer := time.AfterFunc(discardTimeout, conn.close)
	defer timer.Stop()
	// A body that can't be read closes its connection, and the next send takes another one.
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return true
}

// mayRepeat reports whether a call that the target has refused without running it is sent to
// the target again, and counts the repeat. The gate has a slot for it, so that the refusal isn't
// due to the calls that the target got. The calls of a repeated run count as repeats too, so
// only calls of routes without downstream calls are repeated. All that is checked before the
// first send is checked again.
func (s *Server) mayRepeat(ctx context.Context, c *call) bool {
	if ctx.Err() != nil || !c.body.empty || !s.Backpressure.MakesNoCalls(c.head.GetRoute()) {
		return false
	}
	if _, pass := s.checkLeaving(c); !pass || c.target.instance() != c.dispatchInfo.Instance {
		return false
	}
	if _, pass := s.checkQuarantined(c); !pass {
		return false
	}
	return c.target.beginDispatch(c) == wharfoutcome.ReasonNone && c.target.allowRepeat(c, s.RepeatLimit)
}

// recordRefusal records whether the target has refused a call that was sent to it.
func (s *Server) recordRefusal(c *call, refused bool) {
	now := time.Now()
	t := c.target
	t.mu.Lock()
	changed := t.refusals.Record(now, refused)
	refusing, share := t.refusals.Refusing(now), t.refusals.Share(now)
	if changed && refusing {
		t.refusals.Expect(s.RepeatLimit.Ratio)
	}
	t.mu.Unlock()
	switch {
	case changed && refusing:
		s.Log.Emit(wharfevents.TargetRefusing,
			wharfevents.Field{Name: "target", Value: t.address},
			wharfevents.Field{Name: "refused-share", Value: share})
	case changed:
		s.Log.Emit(wharfevents.TargetAccepting, wharfevents.Field{Name: "target", Value: t.address})
	}
}

// countSend counts a call that is sent to the target, which may be a repeat that its sender
// has allowed.
func (t *target) countSend(c *call, limit wharfbudget.RepeatLimit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.head.GetRepeats() {
		t.repeats.Repeat(time.Now(), limit)
		return
	}
	t.repeats.Request(time.Now(), limit)
}

// recordEnd records that the target has run or finally refused a call.
func (t *target) recordEnd(c *call, refused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refusals.RecordEnd(c.ticketPriority(), refused)
}

// allowRepeat takes one repeat of a call from the limit of the target. It returns false if
// none is left for the request of the call, if the target limits its rate, or if the call has
// too little time.
func (t *target) allowRepeat(c *call, limit wharfbudget.RepeatLimit) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if !t.refusals.Repeats(c.ticketPriority()) || t.gate.Limited() || !now.Before(t.gate.LatestStart(c.ticket(now))) {
		return false
	}
	return t.repeats.AllowPaced(now, limit, t.shares.Order(int(c.head.GetRank())), t.refusals.Marginal(c.ticketPriority()))
}

// refusing reports whether the target refuses a notable share of its calls.
func (t *target) refusing() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refusals.Refusing(time.Now())
}
