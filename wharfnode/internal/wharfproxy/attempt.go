package wharfproxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"ragwortwharf.dev/wharf/wharfadmission"
	"ragwortwharf.dev/wharf/wharfidempotency"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfrouting"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/internal/wharfliveness"
	"ragwortwharf.dev/wharfnode/internal/wharftarget"
	"ragwortwharf.dev/wharfnode/internal/wharftransport"
)

// attemptResult is what one attempt showed.
type attemptResult struct {
	outcome wharfoutcome.Outcome
	// answered says that the caller has got the answer.
	answered bool
	// sent says that the node may have received the attempt.
	sent bool
	// arrived says that the target received the attempt, or may have.
	arrived bool
	// lost says that the node took the attempt and its answer didn't come.
	lost         bool
	retried      bool
	attemptsLeft int
	routing      wharfrouting.Result
	latency      time.Duration
	report       *wharfrouting.LoadReport
}

// attempt sends a request to one target and passes its answer on.
func (e *Proxy) attempt(c *call, target wharfrouting.Target, attempts int) attemptResult {
	started := time.Now()
	result := e.exchange(c, target, attempts)
	result.latency = time.Since(started)
	return result
}

func (e *Proxy) exchange(c *call, target wharfrouting.Target, attempts int) attemptResult {
	watch := e.Transport.Monitor(target.NodeAddress)
	if watch.Unresponsive() {
		return notSent(wharfoutcome.ReasonUnreachable, wharfrouting.Unreachable)
	}
	ctx, watched := watch.Begin(c.ctx)
	defer watched.End()
	x := &transfer{
		entry: e, call: c, target: target, ctx: ctx, monitored: watched,
		stream: e.Transport.Open(ctx, target.NodeAddress), head: e.head(c, target, attempts),
	}
	if err := x.begin(); err != nil {
		return x.broken(err)
	}
	return x.receive()
}

// notSent is the result of an attempt that never left this node.
func notSent(reason wharfoutcome.Reason, routing wharfrouting.Result) attemptResult {
	return attemptResult{outcome: wharfoutcome.Refuse(reason), routing: routing}
}

// cause says why the context of a request ended.
func (e *Proxy) cause(c *call) wharfoutcome.Reason {
	if time.Now().Before(c.deadline) {
		return wharfoutcome.ReasonCancelled
	}
	return wharfoutcome.ReasonDeadline
}

func (e *Proxy) head(c *call, target wharfrouting.Target, attempts int) *wharfwire.CallHead {
	return &wharfwire.CallHead{
		AttemptId:     rand.Uint64(),
		RequestId:     c.requestID,
		Service:       c.service,
		Target:        target.Address,
		Method:        c.r.Method,
		Uri:           c.r.RequestURI,
		Host:          c.r.Host,
		Route:         c.route(),
		ObjectiveMs:   c.policy.Objective.Milliseconds(),
		Headers:       wharfwire.PackHeaders(c.r.Header),
		Class:         c.policy.Class.Name,
		Rank:          uint32(c.policy.Class.Rank),
		Depth:         uint32(c.depth),
		Idempotent:    c.policy.Idempotent,
		TimeoutMs:     max(time.Until(c.deadline).Milliseconds(), 0),
		Attempts:      uint32(attempts),
		Caller:        c.caller,
		Key:           c.key,
		KeyMinted:     c.key == "",
		Fingerprint:   uint64(c.fingerprint),
		ContentLength: c.body.length,
		StateOffset:   e.View.State().Offset(),
		Streams:       c.body.rest != nil,
		Priority:      uint32(c.priority),
	}
}

// refused is the result of an attempt that ended without an answer.
func (x *transfer) refused(frame *wharfwire.AnswerFrame) attemptResult {
	head := frame.GetHead()
	result := attemptResult{
		sent:    true,
		arrived: head.GetArrived(),
		retried: head.GetRetried(),
		report:  reportOf(head),
		outcome: wharfoutcome.Outcome{
			Kind:       wharfoutcome.Kind(head.GetOutcome()),
			Reason:     wharfoutcome.Reason(head.GetReason()),
			RetryAfter: time.Duration(head.GetRetryAfterMs()) * time.Millisecond,
		},
	}
	result.routing = routingOf(result.outcome.Reason, wharfrouting.Refused)
	result.attemptsLeft = int(frame.GetEnd().GetAttemptsLeft())
	return result
}

// routingOf returns what a reason says of the target, or else what is given.
func routingOf(reason wharfoutcome.Reason, otherwise wharfrouting.Result) wharfrouting.Result {
	switch reason {
	case wharfoutcome.ReasonTargetCrashed, wharfoutcome.ReasonUnreachable:
		return wharfrouting.TargetFailed
	case wharfoutcome.ReasonNoTarget, wharfoutcome.ReasonTargetSilent:
		return wharfrouting.Unreachable
	case wharfoutcome.ReasonAnswerLost, wharfoutcome.ReasonAnswerIncomplete:
		return wharfrouting.ResponseLost
	default:
		return otherwise
	}
}

func reportOf(head *wharfwire.AnswerHead) *wharfrouting.LoadReport {
	l := head.GetLoad()
	if l == nil {
		return nil
	}
	return &wharfrouting.LoadReport{
		Running:     int(l.GetInFlight()),
		Queued:      int(l.GetQueued()),
		Limit:       int(l.GetLimit()),
		LowestRank:  int(l.GetLowestRank()),
		QueueRoom:   int(l.GetRoom()),
		RouteLevel:  wharfadmission.Priority(min(l.GetRouteLevel(), uint32(wharfadmission.LevelOpen))),
		FromService: l.GetInternal(),
		QueueDelay:  time.Duration(l.GetPressureMs()) * time.Millisecond,
		RetryAfter:  time.Duration(head.GetRetryAfterMs()) * time.Millisecond,
	}
}

// broken is the result of an attempt whose stream failed. What became of the
// request isn't known, unless the node can be asked.
func (x *transfer) broken(err error) attemptResult {
	result := attemptResult{sent: true, arrived: true, lost: true, routing: wharfrouting.Unreachable}
	c := x.call
	if !x.stream.Sent() {
		return x.neverSent()
	}
	if c.ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded) {
		result.lost = false
		result.routing = wharfrouting.Cancelled
		result.outcome = wharfoutcome.Uncertain(x.entry.cause(c))
		return result
	}
	result.outcome = wharfoutcome.Uncertain(wharfoutcome.ReasonAnswerLost)
	if errors.Is(context.Cause(x.ctx), wharfliveness.ErrUnresponsive) {
		// Asking the node what became of the request would take as long again.
		return result
	}
	var broken *wharftransport.AbortedError
	if errors.As(err, &broken) {
		return brokenOff(broken.Reason)
	}
	if !c.policy.Idempotent && c.key == "" {
		result.outcome = x.resolve(result.outcome)
	}
	return result
}

// neverSent is the result of an attempt that found no connection.
func (x *transfer) neverSent() attemptResult {
	if x.call.ctx.Err() != nil {
		return notSent(x.entry.cause(x.call), wharfrouting.Cancelled)
	}
	return notSent(wharfoutcome.ReasonUnreachable, wharfrouting.Unreachable)
}

// brokenOff is the result of an attempt whose answer the target's node ended
// early, for a reason.
func brokenOff(reason wharfoutcome.Reason) attemptResult {
	return attemptResult{
		sent: true, arrived: true, lost: true,
		routing: routingOf(reason, wharfrouting.Cancelled), outcome: wharfoutcome.Uncertain(reason),
	}
}

// resolveTimeout bounds the question about a lost answer.
const resolveTimeout = 500 * time.Millisecond

// resolve asks the node of a minted key what became of it. If the request has
// not been dispatched there, asking closes the key, and then it has not run.
func (x *transfer) resolve(o wharfoutcome.Outcome) wharfoutcome.Outcome {
	ctx, cancel := context.WithTimeout(x.call.ctx, resolveTimeout)
	defer cancel()
	member, ok := x.entry.View.Member(x.target.Node)
	if !ok {
		return o
	}
	owner := wharfidempotency.Owner{Node: member.Node, Incarnation: member.Incarnation, Address: member.Address}
	entry, err := x.entry.Consulter.Consult(ctx, owner, wharftarget.GeneratedKey(x.head.GetAttemptId()))
	if err == nil && entry.State == wharfidempotency.Absent {
		return wharfoutcome.Refuse(wharfoutcome.ReasonAnswerLost)
	}
	return o
}
