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

// attemptResult describes how one attempt ended.
type attemptResult struct {
	outcome wharfoutcome.Outcome
	// delivered is true if the caller received the response, and status is its HTTP
	// status.
	delivered bool
	status    int
	// sent is true if the node may have received the attempt.
	sent bool
	// arrived is true if the target received the attempt, or may have received
	// it.
	arrived bool
	// responseLost is true if the node received the attempt, or may have, and
	// its response did not arrive.
	responseLost bool
	// retried is true if a downstream hop has already retried this failure.
	retried bool
	// attemptsLeft is the number of delegated attempts that the node returned.
	attemptsLeft int
	// routing is the result of the attempt that is passed to the balancer.
	routing wharfrouting.Result
	latency time.Duration
	// report is the load report of the target, nil if the node sent none.
	report *wharfrouting.LoadReport
}

// attempt sends a request to one target, with the given number of attempts
// delegated to it, and forwards the response. It measures the latency.
func (p *Proxy) attempt(c *call, target wharfrouting.Target, attempts int) attemptResult {
	started := time.Now()
	result := p.exchange(c, target, attempts)
	result.latency = time.Since(started)
	return result
}

// exchange makes the call to the target's node. It fails at once if the node is
// known to be unresponsive.
func (p *Proxy) exchange(c *call, target wharfrouting.Target, attempts int) attemptResult {
	monitor := p.Transport.Monitor(target.NodeAddress)
	if monitor.Unresponsive() {
		return notSentResult(wharfoutcome.ReasonUnreachable, wharfrouting.Unreachable)
	}
	ctx, monitored := monitor.Begin(c.ctx, c.deadline.Add(outcomeGrace), c.policy.Idempotent)
	defer monitored.End()
	x := &transfer{
		proxy: p, call: c, target: target, owner: p.attemptOwner(c, target), ctx: ctx, monitored: monitored,
		stream: p.Transport.Open(ctx, target.NodeAddress), head: p.head(c, target, attempts),
	}
	if err := x.begin(); err != nil {
		return x.failedResult(err)
	}
	return x.receive()
}

// attemptOwner returns the owner of the generated key of an attempt: the present incarnation of the
// target's node. It is looked up before anything is sent. An incarnation that starts later has no
// entry of the key, although an earlier one may have run the request.
func (p *Proxy) attemptOwner(c *call, target wharfrouting.Target) wharfidempotency.Owner {
	if !c.mustNotRunTwice() {
		return wharfidempotency.Owner{}
	}
	member, _ := p.View.Member(target.Node)
	return wharfidempotency.Owner{Node: member.Node, Incarnation: member.Incarnation, Address: member.Address}
}

// notSentResult returns the result of an attempt that never left this node.
func notSentResult(reason wharfoutcome.Reason, routing wharfrouting.Result) attemptResult {
	return attemptResult{outcome: wharfoutcome.Refuse(reason), routing: routing}
}

// endReason returns the reason why the context of a request ended: the node stops, the deadline
// passed, or the caller cancelled the request before it.
func (p *Proxy) endReason(c *call) wharfoutcome.Reason {
	if c.stopped() {
		return wharfoutcome.ReasonLeaving
	}
	if time.Now().Before(c.deadline) {
		return wharfoutcome.ReasonCancelled
	}
	return wharfoutcome.ReasonDeadline
}

// head returns the head of a call to the target.
func (p *Proxy) head(c *call, target wharfrouting.Target, attempts int) *wharfwire.CallHead {
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
		StateOffset:   p.View.State().Offset(),
		Streams:       c.body.rest != nil,
		Priority:      uint32(c.priority),
		Repeats:       c.repeats,
		Account:       c.account,
		Authenticated: c.authenticated,
	}
}

// refusedResult returns the result of an attempt that ended without a response
// of the target to forward.
func (x *transfer) refusedResult(frame *wharfwire.AnswerFrame) attemptResult {
	head := frame.GetHead()
	result := attemptResult{
		sent:    true,
		arrived: head.GetArrived(),
		retried: head.GetRetried(),
		report:  loadReport(head),
		outcome: wharfoutcome.Outcome{
			Kind:       wharfoutcome.Kind(head.GetOutcome()),
			Reason:     wharfoutcome.Reason(head.GetReason()),
			RetryAfter: wharfwire.Duration(head.GetRetryAfterMs()),
		},
	}
	result.routing = routingResult(result.outcome.Reason, wharfrouting.Refused)
	if result.arrived && result.outcome.Reason == wharfoutcome.ReasonOverload {
		// The target itself refused the request, which the load of the target doesn't
		// show: a target that refuses quickly looks idle.
		result.routing = wharfrouting.ResponseLost
	}
	result.attemptsLeft = int(frame.GetEnd().GetAttemptsLeft())
	return result
}

// routingResult returns the result for the balancer that follows from the reason of
// a failure, or fallback for all other reasons. The result Unreachable makes the
// balancer eject the target at once. It is returned for a target that its node does
// not have or that is unresponsive. ReasonUnreachable comes from the target's node
// here and means that this node could not connect to the target; the result is only
// TargetFailed.
func routingResult(reason wharfoutcome.Reason, fallback wharfrouting.Result) wharfrouting.Result {
	switch reason {
	case wharfoutcome.ReasonTargetCrashed, wharfoutcome.ReasonUnreachable:
		return wharfrouting.TargetFailed
	case wharfoutcome.ReasonNoTarget, wharfoutcome.ReasonTargetUnresponsive:
		return wharfrouting.Unreachable
	case wharfoutcome.ReasonResponseLost, wharfoutcome.ReasonResponseIncomplete:
		return wharfrouting.ResponseLost
	default:
		return fallback
	}
}

// loadReport returns the load report in the head of a response, or nil.
func loadReport(head *wharfwire.AnswerHead) *wharfrouting.LoadReport {
	l := head.GetLoad()
	if l == nil {
		return nil
	}
	return &wharfrouting.LoadReport{
		Running:            int(l.GetInFlight()),
		Queued:             int(l.GetQueued()),
		Limit:              int(l.GetLimit()),
		LeastImportantRank: int(l.GetLowestRank()),
		QueueRoom:          int(l.GetRoom()),
		RouteLevel:         wharfadmission.Priority(min(l.GetRouteLevel(), uint32(wharfadmission.LevelOpen))),
		Shares:             wharfadmission.RankSharesOf(l.GetRankShares(), l.GetRankSharesHigh()),
		AccountShares:      accountShares(l.GetAccountShares()),
		RejectedShare:      float64(l.GetRejectedPermille()) / wharfwire.Permille,
		CompletionShares:   wharfadmission.RankSharesOf(l.GetCompletionShares(), l.GetCompletionSharesHigh()),
		FromService:        l.GetInternal(),
		QueueDelay:         time.Duration(l.GetPressureMs()) * time.Millisecond,
		RetryAfter:         wharfwire.Duration(head.GetRetryAfterMs()),
		ServiceTime:        time.Duration(l.GetServiceTimeUs()) * time.Microsecond,
		MeanLoad:           float64(l.GetMeanLoadPermille()) / wharfwire.Permille,
	}
}

// accountShares returns the shares of client accounts in a load report, nil if there are none.
func accountShares(values []uint64) []wharfadmission.AccountShare {
	if len(values) == 0 {
		return nil
	}
	shares := make([]wharfadmission.AccountShare, len(values))
	for i, value := range values {
		shares[i] = wharfadmission.AccountShare(value)
	}
	return shares
}

// failedResult returns the result of an attempt whose stream failed. Whether the
// request ran is unknown, unless the node can be asked.
func (x *transfer) failedResult(err error) attemptResult {
	result := attemptResult{sent: true, arrived: true, responseLost: true, routing: wharfrouting.Unreachable}
	c := x.call
	if !x.stream.Sent() {
		return x.connectFailedResult()
	}
	if x.ended() || errors.Is(err, context.DeadlineExceeded) {
		result.responseLost = false
		result.routing = wharfrouting.Cancelled
		result.outcome = x.endOutcome()
		return result
	}
	result.outcome = wharfoutcome.Uncertain(wharfoutcome.ReasonResponseLost)
	if errors.Is(context.Cause(x.ctx), wharfliveness.ErrUnresponsive) {
		// A query to the unresponsive node would fail only at its timeout.
		return result
	}
	var aborted *wharftransport.AbortedError
	if errors.As(err, &aborted) {
		return abortedResult(aborted.Reason)
	}
	if c.mustNotRunTwice() {
		result.outcome = x.resolve(x.ctx, resolveTimeout, result.outcome)
	}
	return result
}

// mustNotRunTwice reports whether the request isn't idempotent and has no key of its caller.
func (c *call) mustNotRunTwice() bool {
	return !c.policy.Idempotent && c.key == ""
}

// endOutcome returns the outcome of an attempt whose request was ended. At the end of a planned stop
// the node of the target is asked about a request that must not run twice: if it still waits there, it
// never runs, and its caller may send it to another node.
func (x *transfer) endOutcome() wharfoutcome.Outcome {
	c := x.call
	o := wharfoutcome.Uncertain(x.proxy.endReason(c))
	if !c.stopped() || !c.mustNotRunTwice() {
		return o
	}
	o = x.resolve(context.WithoutCancel(x.ctx), resolveAtStopTimeout, o)
	if o.Kind == wharfoutcome.NotRun {
		return wharfoutcome.Refuse(wharfoutcome.ReasonLeaving).WithRetryAfter(stopRetryAfter)
	}
	return o
}

// ended reports whether the caller has cancelled the request or its deadline has
// passed.
func (x *transfer) ended() bool {
	return x.call.ctx.Err() != nil || errors.Is(context.Cause(x.ctx), context.DeadlineExceeded)
}

// connectFailedResult returns the result of an attempt that got no connection to
// the node.
func (x *transfer) connectFailedResult() attemptResult {
	if x.ended() {
		return notSentResult(x.proxy.endReason(x.call), wharfrouting.Cancelled)
	}
	return notSentResult(wharfoutcome.ReasonUnreachable, wharfrouting.Unreachable)
}

// abortedResult returns the result of an attempt whose response the target's
// node aborted for the given reason.
func abortedResult(reason wharfoutcome.Reason) attemptResult {
	return attemptResult{
		sent: true, arrived: true, responseLost: true,
		routing: routingResult(reason, wharfrouting.Cancelled), outcome: wharfoutcome.Uncertain(reason),
	}
}

const (
	// resolveTimeout bounds the query about a lost response.
	resolveTimeout = 500 * time.Millisecond
	// resolveAtStopTimeout bounds it for a request that the stop of the node ends. It covers a
	// round trip between failure domains, and leaves time for the response.
	resolveAtStopTimeout = 50 * time.Millisecond
)

// resolve asks the owner of the generated key of the attempt. If the node has not
// dispatched the request, it closes the key and never will, so the outcome is that
// the request did not run. If the node has restarted since, the outcome stays o.
func (x *transfer) resolve(ctx context.Context, timeout time.Duration, o wharfoutcome.Outcome) wharfoutcome.Outcome {
	if x.owner.Node == "" {
		return o
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	entry, err := x.proxy.Consulter.Consult(ctx, x.owner, wharftarget.GeneratedKey(x.head.GetAttemptId()))
	if err == nil && entry.State == wharfidempotency.Absent {
		return wharfoutcome.Refuse(wharfoutcome.ReasonResponseLost)
	}
	return o
}
