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

// plainTries is the number of attempts at each hop when retries are set to
// "plain", the baseline variant.
const plainTries = 3

// ownerTries is the number of attempts at the owner of an idempotency key.
const ownerTries = 3

// attemptLoop makes the attempts of one request and holds their state.
type attemptLoop struct {
	proxy   *Proxy
	call    *call
	service *serviceState
	// tried lists the addresses of the targets that were tried.
	tried []string
	// mayHaveCrashed lists the addresses of the targets that may have run the
	// request and whose response did not arrive.
	mayHaveCrashed []string
	// arrivals counts the attempts that a target received or may have received.
	arrivals int
	last     attemptResult
	// uncertain is the outcome of the last attempt in which the request may have
	// run, valid if mayHaveRun is true.
	uncertain  wharfoutcome.Outcome
	mayHaveRun bool
}

// send makes attempts until the request has its final outcome.
func (p *Proxy) send(c *call) {
	s := &attemptLoop{proxy: p, call: c, service: p.service(c.service)}
	c.grant.begin()
	defer s.end()
	s.service.countRequest(p.RepeatLimit)
	for s.attempt() {
		if !s.backOff() {
			break
		}
	}
	if s.last.delivered {
		return
	}
	if s.arrivals > 0 {
		c.quota = nil // A request that reached a target counts, also if the target refused it.
	}
	p.refuse(c, s.outcome())
}

// outcome returns the outcome over all attempts. If the request may have run in one
// of them, the outcome stays Unknown even if a later attempt was refused.
func (s *attemptLoop) outcome() wharfoutcome.Outcome {
	if s.mayHaveRun && s.last.outcome.Kind == wharfoutcome.NotRun {
		return s.uncertain.WithRetryAfter(s.last.outcome.RetryAfter)
	}
	return s.last.outcome
}

// end records the result of the request for its parent call.
func (s *attemptLoop) end() {
	s.call.grant.end(wharfbudget.DownstreamResult{
		Retried:        s.call.tries > 1 && !s.last.delivered,
		Refused:        !s.last.delivered,
		LevelReduction: s.service.levelReduction(s.call.route()),
	})
}

// attempt makes one attempt and reports whether another may follow.
func (s *attemptLoop) attempt() bool {
	p, c := s.proxy, s.call
	delegated, ok := c.grant.take()
	if !ok {
		s.fail(wharfoutcome.Refuse(wharfoutcome.ReasonAttemptsSpent))
		return false
	}
	request, reason := s.routingRequest()
	if reason != wharfoutcome.ReasonNone {
		c.grant.refund(delegated)
		s.fail(wharfoutcome.Refuse(reason).WithRetryAfter(ownerRetryAfter))
		return false
	}
	target, o := s.service.pick(p.View, request)
	if target.Address == "" {
		c.grant.refund(delegated)
		s.fail(o)
		return false
	}
	s.tried = append(s.tried, target.Address)
	s.call.tries++
	s.call.lastTarget, s.call.lastAttempt = target, time.Now()
	p.Metrics.Attempt(s.call.tries > 1)
	c.repeats = s.arrivals > 0 || c.parent.Repeats
	s.last = p.attempt(c, target, delegated)
	if s.last.arrived || s.last.delivered {
		s.arrivals++
	}
	s.observe(target, delegated)
	if s.last.delivered {
		return false
	}
	limit := s.takeRetry(request)
	p.logAttempt(c, target, s.last, limit)
	return limit == noLimit
}

// fail sets the outcome of a request that can't be sent.
func (s *attemptLoop) fail(o wharfoutcome.Outcome) {
	if s.call.tries > 0 && o.Reason == wharfoutcome.ReasonNoTarget {
		// All targets were tried. The outcome of the last attempt is more
		// specific.
		return
	}
	s.last = attemptResult{outcome: o}
}

// ownerRetryAfter is the retry-after hint when the owner of a key is unknown.
const ownerRetryAfter = 500 * time.Millisecond

// routingRequest describes the request to the balancer. A request that must take
// effect at most once is sent only to the owner of its key.
func (s *attemptLoop) routingRequest() (wharfrouting.Request, wharfoutcome.Reason) {
	c := s.call
	r := wharfrouting.Request{
		Route: c.route(), Rank: c.policy.Class.Rank, Priority: c.priority,
		Tried: s.tried, IgnoreLevels: !s.proxy.Variant.Levels,
	}
	if c.policy.Idempotent || c.key == "" {
		r.ExposureLimit = s.exposureLimit()
		return r, wharfoutcome.ReasonNone
	}
	owner, ok := s.proxy.View.Ownership().Table.Owner(c.service, c.key)
	if !ok {
		return r, wharfoutcome.ReasonOwnerUnreachable
	}
	// The owner detects a resend by its key, so the same target may be tried
	// again.
	r.PinnedNode, r.Tried = owner.Node, nil
	return r, wharfoutcome.ReasonNone
}

// observe updates the balancer, the grant and the crash records from the last
// attempt.
func (s *attemptLoop) observe(target wharfrouting.Target, delegated int) {
	s.service.observe(target, s.call.route(), s.last.routing, s.last.latency, s.last.report)
	s.observeDownstream()
	s.observeEntry()
	if s.last.sent {
		s.call.grant.refundUnused(delegated, s.last.attemptsLeft)
	} else {
		s.call.grant.refund(delegated)
	}
	if s.last.outcome.Reason == wharfoutcome.ReasonSuspected {
		// The target's node has a record of a crash that this node has not
		// received yet.
		s.proxy.safeRequests.Remove(s.call.fingerprint)
	}
	switch s.last.outcome.Kind {
	case wharfoutcome.Completed:
		s.proxy.retryBudget.Success()
		if !s.last.delivered || wharfoutcome.RanToEnd(s.last.status) {
			s.proxy.markSafe(s.call)
		}
	case wharfoutcome.Unknown:
		s.uncertain, s.mayHaveRun = s.last.outcome, true
		s.mayHaveCrashed = append(s.mayHaveCrashed, target.Address)
	}
}

// observeDownstream records what a call made by a target on this VM met downstream: the
// share of its rank that can be served, or the queue delay if the call has no parent, so
// that its client request is unknown. A call that was rejected counts with the maximum
// delay. Client requests don't count. A call with a depth above zero has a parent, so it
// is no client request. For a call with depth zero, the called node reports in
// FromService whether services make the calls of this route.
func (s *attemptLoop) observeDownstream() {
	report := s.last.report
	if report == nil || !report.FromService && s.call.depth == 0 {
		return
	}
	if s.call.depth > 0 {
		rank, shares := s.call.policy.Class.Rank, report.Shares
		if shares == (wharfadmission.RankShares{}) {
			shares = shares.With(rank, 1-report.RejectedShare)
		}
		served := wharfadmission.Report{Ranks: shares, Accounts: report.AccountShares}
		s.proxy.Backpressure.ObserveShares(s.call.service, rank, served, report.CompletionShares)
		return
	}
	switch s.last.outcome.Reason {
	case wharfoutcome.ReasonOverload, wharfoutcome.ReasonDownstreamOverload, wharfoutcome.ReasonDeadline:
		s.proxy.Backpressure.Observe(wharfadmission.MaxQueueDelay)
	default:
		s.proxy.Backpressure.Observe(report.QueueDelay)
	}
}

// retryLimit names what forbids another attempt.
type retryLimit string

// Limits of retries. noLimit means that another attempt follows.
const (
	noLimit            retryLimit = "none"
	limitDeadline      retryLimit = "deadline"
	limitVariant       retryLimit = "variant"
	limitMaxTargets    retryLimit = "max-targets"
	limitNoAlternative retryLimit = "no-alternative"
	limitFinal         retryLimit = "final"
	limitRetryBudget   retryLimit = "retry-budget"
	limitRepeats       retryLimit = "repeat-limit"
)

// takeRetry returns noLimit if another attempt follows, and takes it from the retry budget
// and the repeat limit. Otherwise it returns the limit that forbids the attempt.
func (s *attemptLoop) takeRetry(request wharfrouting.Request) retryLimit {
	c := s.call
	if c.ctx.Err() != nil || !time.Now().Before(c.deadline) {
		return limitDeadline
	}
	switch s.proxy.Variant.Retries {
	case "off":
		return limitVariant
	case "plain":
		safe := c.policy.Idempotent || s.last.outcome.Kind == wharfoutcome.NotRun
		if safe && s.call.tries < plainTries && !c.body.restSent {
			return noLimit
		}
		return limitVariant
	}
	if request.PinnedNode != "" && s.call.tries >= ownerTries || c.policy.MaxTargets > 0 && s.arrivals >= c.policy.MaxTargets {
		return limitMaxTargets
	}
	if request.PinnedNode == "" {
		request.Tried = s.tried
	}
	f := s.failure(request)
	switch {
	case f.NoAlternative:
		return limitNoAlternative
	case !wharfbudget.MayRetry(f):
		return limitFinal
	case !wharfbudget.Misrouted(s.last.outcome) && !s.proxy.retryBudget.Allow():
		return limitRetryBudget
	case !s.mayRepeat():
		return limitRepeats
	}
	return noLimit
}

// failure describes the last attempt, with request as the one that would follow.
func (s *attemptLoop) failure(request wharfrouting.Request) wharfbudget.Failure {
	c, reason := s.call, s.last.outcome.Reason
	return wharfbudget.Failure{
		Outcome: s.last.outcome,
		// It is safe to send the request to the owner of its key again, because the
		// owner runs at most one request with the key.
		Idempotent:    c.policy.Idempotent || request.PinnedNode != "" && s.last.responseLost,
		Retried:       s.last.retried,
		BodyConsumed:  c.body.restSent,
		Suspected:     reason == wharfoutcome.ReasonTargetCrashed || s.suspected(),
		NoAlternative: reason == wharfoutcome.ReasonOverload && s.service.noAlternative(request),
	}
}

// mayRepeat takes a repeat from the limit if a target may have received the
// request. If only nodes have refused it, the next attempt is the first that can
// reach a target and is no repeat.
func (s *attemptLoop) mayRepeat() bool {
	return s.arrivals == 0 || s.service.allowRepeat(s.proxy.RepeatLimit, s.proxy.View.KnownNodes())
}

// suspected reports whether the request is suspected of crashing targets.
func (s *attemptLoop) suspected() bool {
	return s.proxy.Quarantine.Suspected(time.Now(), s.call.fingerprint)
}

// backOff waits before the next attempt, except in the "plain" variant. It
// returns false if the deadline passes first or the caller cancels the request.
func (s *attemptLoop) backOff() bool {
	if s.proxy.Variant.Retries == "plain" {
		return s.call.ctx.Err() == nil
	}
	wait := wharfbudget.Backoff(wharfrandom.New(), s.call.tries)
	if time.Now().Add(wait).After(s.call.deadline) {
		return false
	}
	return wharftimer.Sleep(s.call.ctx, wait)
}
