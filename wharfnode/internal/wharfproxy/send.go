package wharfproxy

import (
	"time"

	"ragwortwharf.dev/wharf/wharfadmission"
	"ragwortwharf.dev/wharf/wharfbudget"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfrouting"
	"ragwortwharf.dev/wharf/wharftimer"
	"ragwortwharf.dev/wharfnode/internal/wharfrandom"
)

// plainTries is the number of tries at each hop of the baseline variant.
const plainTries = 3

// ownerTries is the number of tries at the home of a key.
const ownerTries = 3

// sending is the state of a request over its attempts.
type sending struct {
	entry *Proxy
	call  *call
	route *route
	tried []string
	// mayHaveCrashed lists the targets where the request may have run and whose
	// answer didn't come.
	mayHaveCrashed []string
	// arrivals counts those that a target received, or may have.
	arrivals int
	last     attemptResult
	// uncertain is the outcome of the last attempt that may have run.
	uncertain  wharfoutcome.Outcome
	mayHaveRun bool
}

// send makes attempts until the request has its final outcome.
func (e *Proxy) send(c *call) {
	s := &sending{entry: e, call: c, route: e.routes.get(e.View, c.service)}
	c.grant.begin()
	defer s.end()
	s.route.begin(e.RepeatLimit)
	for s.attempt() {
		if !s.pause() {
			break
		}
	}
	if s.last.answered {
		return
	}
	e.refuse(c, s.outcome())
}

// outcome returns the truth about all attempts: once one of them may have run,
// a later refusal doesn't undo that.
func (s *sending) outcome() wharfoutcome.Outcome {
	if s.mayHaveRun && s.last.outcome.Kind == wharfoutcome.NotRun {
		return s.uncertain.WithRetryAfter(s.last.outcome.RetryAfter)
	}
	return s.last.outcome
}

// end records what the request has met for the call that it was made for.
func (s *sending) end() {
	s.call.grant.end(wharfbudget.DownstreamResult{
		Retried:        s.call.tries > 1 && !s.last.answered,
		Refused:        !s.last.answered,
		LevelReduction: s.route.levelReduction(s.call.route()),
	})
}

// attempt makes one attempt and reports whether another may follow.
func (s *sending) attempt() bool {
	e, c := s.entry, s.call
	down, ok := c.grant.take()
	if !ok {
		s.fail(wharfoutcome.Refuse(wharfoutcome.ReasonAttemptsSpent))
		return false
	}
	request, refused := s.request()
	if refused != wharfoutcome.ReasonNone {
		c.grant.refund(down)
		s.fail(wharfoutcome.Refuse(refused).WithRetryAfter(ownerRetryAfter))
		return false
	}
	target, o := s.route.pick(e.View, request)
	if target.Address == "" {
		c.grant.refund(down)
		s.fail(o)
		return false
	}
	s.tried = append(s.tried, target.Address)
	s.call.tries++
	e.Metrics.Attempt(s.call.tries > 1)
	s.last = e.attempt(c, target, down)
	if s.last.arrived || s.last.answered {
		s.arrivals++
	}
	s.observe(target, down)
	if s.last.answered {
		return false
	}
	e.logAttempt(c, target, s.last)
	return s.mayRetry(request)
}

// fail sets the outcome of a request that can't be sent.
func (s *sending) fail(o wharfoutcome.Outcome) {
	if s.call.tries > 0 && o.Reason == wharfoutcome.ReasonNoTarget {
		// All targets were tried: what the last one said says more.
		return
	}
	s.last = attemptResult{outcome: o}
}

// ownerRetryAfter is the advice when the home of a key isn't known or reached.
const ownerRetryAfter = 500 * time.Millisecond

// request describes the request to routing. A request that must take effect at
// most once goes to the home of its key and nowhere else.
func (s *sending) request() (wharfrouting.Request, wharfoutcome.Reason) {
	c := s.call
	r := wharfrouting.Request{
		Route: c.route(), Rank: c.policy.Class.Rank, Priority: c.priority,
		Tried: s.tried, IgnoreLevels: !s.entry.Variant.Levels,
	}
	if c.policy.Idempotent || c.key == "" {
		r.ExposureLimit = s.exposureLimit()
		return r, wharfoutcome.ReasonNone
	}
	owner, ok := s.entry.View.Ownership().Table.Owner(c.service, c.key)
	if !ok {
		return r, wharfoutcome.ReasonHomeUnreachable
	}
	// The home recognises a resend, so it may be asked again.
	r.PinnedNode, r.Tried = owner.Node, nil
	return r, wharfoutcome.ReasonNone
}

func (s *sending) observe(target wharfrouting.Target, down int) {
	s.route.observe(target.Address, s.call.route(), s.last.routing, s.last.latency, s.last.report)
	s.observeQueueDelay()
	if s.last.sent {
		s.call.grant.refundUnused(down, s.last.attemptsLeft)
	} else {
		s.call.grant.refund(down)
	}
	if s.last.outcome.Reason == wharfoutcome.ReasonSuspected {
		// The target's node knows of a crash that this one hasn't heard of.
		s.entry.safeRequests.Remove(s.call.fingerprint)
	}
	switch s.last.outcome.Kind {
	case wharfoutcome.Completed:
		s.entry.retryBudget.Success()
		s.entry.markSafe(s.call)
	case wharfoutcome.Unknown:
		s.uncertain, s.mayHaveRun = s.last.outcome, true
		s.mayHaveCrashed = append(s.mayHaveCrashed, target.Address)
	}
}

// observeQueueDelay notes the wait that a call of the target here has met. One that
// was turned away met the longest.
func (s *sending) observeQueueDelay() {
	report := s.last.report
	if report == nil || !report.FromService && s.call.depth == 0 {
		return
	}
	switch s.last.outcome.Reason {
	case wharfoutcome.ReasonOverload, wharfoutcome.ReasonOverloadBelow, wharfoutcome.ReasonDeadline:
		s.entry.Backpressure.Observe(wharfadmission.MaxQueueDelay)
	default:
		s.entry.Backpressure.Observe(report.QueueDelay)
	}
}

// mayRetry decides whether another attempt follows.
func (s *sending) mayRetry(request wharfrouting.Request) bool {
	c := s.call
	if c.ctx.Err() != nil || s.entry.Variant.Retries == "off" {
		return false
	}
	if s.entry.Variant.Retries == "plain" {
		safe := c.policy.Idempotent || s.last.outcome.Kind == wharfoutcome.NotRun
		return safe && s.call.tries < plainTries && !c.body.restSent
	}
	if request.PinnedNode != "" && s.call.tries >= ownerTries || c.policy.Targets > 0 && s.arrivals >= c.policy.Targets {
		return false
	}
	if request.PinnedNode == "" {
		request.Tried = s.tried
	}
	reason := s.last.outcome.Reason
	f := wharfbudget.Failure{
		Outcome: s.last.outcome,
		// Asking the home of a key again is safe: it runs the key once.
		Idempotent:    c.policy.Idempotent || request.PinnedNode != "" && s.last.lost,
		Retried:       s.last.retried,
		BodyConsumed:  c.body.restSent,
		Suspected:     reason == wharfoutcome.ReasonTargetCrashed || s.suspected(),
		NoAlternative: reason == wharfoutcome.ReasonOverload && s.route.serviceRefuses(request),
	}
	return wharfbudget.MayRetry(f) && s.entry.retryBudget.Allow() && s.mayRepeat()
}

// mayRepeat takes a repeat from the limit if a target may have received the
// request. What only nodes have refused reaches a target for the first time.
func (s *sending) mayRepeat() bool {
	return s.arrivals == 0 || s.route.mayRepeat(s.entry.RepeatLimit, s.entry.View.KnownNodes())
}

func (s *sending) suspected() bool {
	return s.entry.Quarantine.Suspected(time.Now(), s.call.fingerprint)
}

// pause waits before the next attempt. It is false if the deadline comes first.
func (s *sending) pause() bool {
	if s.entry.Variant.Retries == "plain" {
		return s.call.ctx.Err() == nil
	}
	wait := wharfbudget.Backoff(wharfrandom.New(), s.call.tries)
	if time.Now().Add(wait).After(s.call.deadline) {
		return false
	}
	return wharftimer.Sleep(s.call.ctx, wait)
}
