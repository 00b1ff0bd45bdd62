package wharfproxy

import (
	"context"
	"errors"
	"time"

	"ragwortwharf.dev/wharf/wharfadmission"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

// answerMargin is how long before the end of a stop the deadline of a late request must be.
// It covers outcomeGrace and the delivery of the answer on a busy processor.
const answerMargin = 2 * outcomeGrace

// Stop is a planned stop of the node.
type Stop struct {
	Began time.Time
	// Late is the time from which requests are accepted only if they end before End.
	Late time.Time
	// End is the time at which the requests that are left are aborted.
	End time.Time
}

// SetStopping records that a planned stop began.
func (p *Proxy) SetStopping(s Stop) {
	p.stop.Store(&s)
}

// ErrStopped is the cancellation cause of the requests that are left at the end of a planned stop.
var ErrStopped = errors.New("the node stops")

// stopRetryAfter is the retry-after hint at the end of a stop. Other nodes are ready.
const stopRetryAfter = 100 * time.Millisecond

// checkStop refuses a late request that may outlast a planned stop: one of a client by its deadline,
// because another node can serve it. The calls that a target of this node makes for a request in
// flight have no other node, so that they are refused only if too little time is left for them.
func (p *Proxy) checkStop(c *call) (wharfoutcome.Outcome, bool) {
	s := p.stop.Load()
	now := time.Now()
	if s.accepts(now, c.deadline) {
		return wharfoutcome.Outcome{}, true
	}
	usual := p.service(c.service).usualLatency()
	if c.isDownstream() && wharfadmission.EndsBefore(s.End.Add(-answerMargin), now, usual) {
		return wharfoutcome.Outcome{}, true
	}
	// The caller is told to use another connection, and to come back once the node has ended.
	c.w.Header().Set("Connection", "close")
	return wharfoutcome.Refuse(wharfoutcome.ReasonLeaving).WithRetryAfter(s.End.Sub(now)), false
}

// accepts reports whether a request with a deadline ends before the stop does. A nil Stop accepts
// all.
func (s *Stop) accepts(now, deadline time.Time) bool {
	return s == nil || now.Before(s.Late) || deadline.Add(answerMargin).Before(s.End)
}

// isDownstream reports whether a target of this node makes the call for a request that it
// is serving.
func (c *call) isDownstream() bool {
	return !c.parent.Deadline.IsZero()
}

// stopped reports whether the end of a planned stop has ended the request.
func (c *call) stopped() bool {
	return errors.Is(context.Cause(c.ctx), ErrStopped)
}

// stopFields returns the field with the time since the planned stop began, or none if
// there is no stop.
func (p *Proxy) stopFields() []wharfevents.Field {
	s := p.stop.Load()
	if s == nil {
		return nil
	}
	return []wharfevents.Field{{Name: "since-stop-ms", Value: time.Since(s.Began).Milliseconds()}}
}

// end logs a request that the stop has aborted, and counts it as ended.
func (p *Proxy) end(c *call) {
	defer p.calls.Add(-1)
	if !c.stopped() {
		return
	}
	fields := append(p.requestFields(c), wharfevents.Field{Name: "tries", Value: c.tries})
	if c.tries > 0 {
		fields = append(fields,
			wharfevents.Field{Name: "target", Value: c.lastTarget.Address},
			wharfevents.Field{Name: "node", Value: c.lastTarget.Node},
			wharfevents.Field{Name: "attempt-ms", Value: time.Since(c.lastAttempt).Milliseconds()})
	}
	p.Log.Emit(wharfevents.RequestCut, append(fields,
		wharfevents.Field{Name: "left-ms", Value: time.Until(c.deadline).Milliseconds()})...)
}
