package wharftarget

import (
	"slices"
	"time"

	"ragwortwharf.dev/wharf/wharfadmission"
	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfquarantine"
	"ragwortwharf.dev/wharf/wharfwire"
)

// admission is the decision of the gate on a waiting call. The outcome is set only
// if run is false.
type admission struct {
	run     bool
	outcome wharfoutcome.Outcome
}

// admit waits until the call gets a slot of its target. It returns false and the
// outcome if the call is rejected.
func (s *Server) admit(c *call) (wharfoutcome.Outcome, bool) {
	processor := s.Processor.Load()
	if o, pass := s.checkCapacity(c, processor); !pass {
		s.abandonKey(c)
		return o, false
	}
	if c.target.monitor.Unresponsive() {
		s.abandonKey(c)
		return wharfoutcome.Refuse(wharfoutcome.ReasonTargetUnresponsive), false
	}
	o, run := c.target.admit(s, c, processor)
	s.reportCongestion(c.target, processor)
	if !run {
		s.abandonKey(c)
		return o, false
	}
	if c.head.GetStreams() {
		admitted := &wharfwire.Admitted{AttemptId: c.head.GetAttemptId()}
		// The error is ignored: if the sender has disconnected, reading the body
		// fails, too.
		_ = c.stream.Send(&wharfwire.AnswerFrame{Admitted: admitted})
	}
	return o, true
}

// checkCapacity rejects a call that can't be served in time. Backpressure rejects client requests
// whose downstream calls would not be served. A client request that comes straight to a target is
// also subject to the shares of this target, as those are whose calls end here, and a call of a
// service only to the wait for the processor: its client request was admitted elsewhere.
func (s *Server) checkCapacity(c *call, p wharfadmission.ProcessorLoad) (wharfoutcome.Outcome, bool) {
	if !s.Backpressure.Enabled {
		return wharfoutcome.Outcome{}, true
	}
	priority := c.ticketPriority()
	downstream := !c.fromClient || s.Backpressure.Admit(c.head.GetRoute(), c.account, priority, c.head.GetIdempotent())
	if downstream && c.target.checkCapacity(c, p) {
		return wharfoutcome.Outcome{}, true
	}
	reason := wharfoutcome.ReasonDownstreamOverload
	if !c.fromClient {
		reason = wharfoutcome.ReasonOverload
	}
	s.Processor.RecordRefusal()
	return wharfoutcome.Refuse(reason).WithRetryAfter(s.Backpressure.RetryAfter(c.account, priority, c.target.admittedShare(c.account, priority.Rank()))), false
}

// checkCapacity reports whether the target and the processor of its node, which p describes, can
// serve a call in time.
func (t *target) checkCapacity(c *call, p wharfadmission.ProcessorLoad) bool {
	now, priority := time.Now(), c.ticketPriority()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.shares.AdmitCall(priority, p) {
		t.shares.RecordArrival(now, t.ticket(now, c), t.gate, p)
		t.shares.RecordRefusal(priority.Rank())
		return false
	}
	return !c.fromClient || t.shares.AdmitClient(now, c.account, priority, t.gate, p)
}

// admittedShare returns the share of the client requests of an account and a rank that the target
// can serve.
func (t *target) admittedShare(account uint32, rank int) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shares.AdmittedOf(account, rank)
}

// ticket returns the description of a call for the gate; the caller holds the lock.
func (t *target) ticket(now time.Time, c *call) wharfadmission.Ticket {
	ticket := c.ticket(now)
	ticket.Kind = t.kinds.Of(c.head.GetRoute(), c.fromClient)
	t.nameAccount(c)
	ticket.Account, ticket.Excess = c.account, t.shares.Excess(c.account, ticket.Priority)
	return ticket
}

// admit waits until the gate of the target has decided on the call. The outcome is
// the zero value if the call may run. p is what the processor of the node can carry. A call
// that would begin too late to end before a planned stop does is refused, also if it waits when
// the stop begins.
func (t *target) admit(s *Server, c *call, p wharfadmission.ProcessorLoad) (wharfoutcome.Outcome, bool) {
	decided := make(chan admission, 1)
	now := time.Now()
	t.mu.Lock()
	ticket := t.ticket(now, c)
	t.configure(c.config)
	t.waiters[c.id] = decided
	if t.refusals.Refusing(now) {
		t.shares.Hold(now)
	}
	t.shares.RecordArrival(now, ticket, t.gate, p)
	t.congestion.record(now, ticket.Rank, t.gate.Load().Running, t.shares.Admitted(ticket.Rank))
	t.apply(t.gate.Offer(now, ticket))
	latestStart, rateWait := t.gate.LatestStart(ticket), t.gate.RateWait()
	t.mu.Unlock()
	select {
	case a := <-decided:
		return t.begin(s, c, a)
	default:
	}
	// A rejection is of use only if it reaches the sender before the sender's
	// deadline.
	startTimer := time.NewTimer(latestStart.Sub(now))
	defer startTimer.Stop()
	rateTimer := newRateTimer(rateWait)
	defer func() { rateTimer.Stop() }()
	stopping := s.stopSignal.channel()
	for {
		select {
		case a := <-decided:
			return t.begin(s, c, a)
		case <-stopping:
			if !s.endsBeforeStop(c) {
				return t.cancel(c, decided, wharfoutcome.ReasonLeaving)
			}
			stopping = nil
		case <-rateTimer.C:
			rateTimer = newRateTimer(t.refill())
		case <-startTimer.C:
			return t.cancel(c, decided, wharfoutcome.ReasonDeadline)
		case <-c.ctx.Done():
			return t.cancel(c, decided, c.endReason(c.ctx))
		}
	}
}

// begin returns the decision of the gate on a call, or a refusal if a planned stop has begun
// that the call may outlast.
func (t *target) begin(s *Server, c *call, a admission) (wharfoutcome.Outcome, bool) {
	if !a.run || s.endsBeforeStop(c) {
		return a.outcome, a.run
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.apply(t.gate.Finish(time.Now(), c.id, 0, wharfadmission.Cancelled))
	return wharfoutcome.Refuse(wharfoutcome.ReasonLeaving), false
}

// newRateTimer returns a timer for the next start that a rate limit allows. If wait is zero
// there is no rate limit, and the timer never fires.
func newRateTimer(wait time.Duration) *time.Timer {
	timer := time.NewTimer(wait)
	if wait == 0 {
		timer.Stop()
	}
	return timer
}

// refill starts the waiting calls that the rate limit allows by now, and returns how long it
// takes until it allows the next one.
func (t *target) refill() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.apply(t.gate.Refill(time.Now()))
	return t.gate.RateWait()
}

// cancel removes a waiting call whose sender disconnected or whose time to start is
// over. If the call was admitted at the same moment, cancel frees its slot.
func (t *target) cancel(c *call, decided <-chan admission, reason wharfoutcome.Reason) (wharfoutcome.Outcome, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiters, c.id)
	t.gate.Cancel(c.id)
	if reason == wharfoutcome.ReasonDeadline {
		t.shares.RecordRefusal(int(c.head.GetRank()))
	}
	select {
	case a := <-decided:
		if a.run {
			t.apply(t.gate.Finish(time.Now(), c.id, 0, wharfadmission.Cancelled))
		}
	default:
	}
	return wharfoutcome.Refuse(reason).WithRetryAfter(t.gate.RetryAfter()), false
}

// apply sends the decisions of the gate to the waiting calls; the caller holds the
// lock.
func (t *target) apply(fx wharfadmission.Effects) {
	for _, id := range fx.Run {
		t.notify(id, admission{run: true})
	}
	for _, r := range fx.Refused {
		t.congestion.refused++
		t.shares.RecordRefusal(r.Rank)
		t.notify(r.ID, admission{outcome: r.Outcome})
	}
}

// notify sends a decision to a call if the call still waits; the caller holds the
// lock.
func (t *target) notify(id uint64, a admission) {
	decided, ok := t.waiters[id]
	if !ok {
		return
	}
	delete(t.waiters, id)
	decided <- a
}

// configure sets the reserves of the gate to those of the configured classes; the
// caller holds the lock.
func (t *target) configure(config *wharfconfig.Snapshot) {
	if t.reservesOffset == config.Offset() {
		return
	}
	t.reservesOffset = config.Offset()
	var reserves []wharfadmission.Reserve
	for _, c := range config.Classes() {
		if c.Reserve > 0 {
			reserves = append(reserves, wharfadmission.Reserve{Rank: c.Rank, Share: c.Reserve})
		}
	}
	t.gate.SetReserves(reserves)
}

// beginDispatch records that the call is in flight to the target, and to which instance of it. It
// returns the reason to refuse the call, and records nothing, if the target has started to leave
// while the call waited, or if its address has gone to a target of another service.
func (t *target) beginDispatch(c *call) wharfoutcome.Reason {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.removed || t.info.Service != c.head.GetService():
		return wharfoutcome.ReasonNoTarget
	case t.leavingLocked():
		return wharfoutcome.ReasonLeaving
	}
	c.instance = t.info.Labels[wharfmember.LabelInstance]
	t.inFlight[c.id] = inFlightRequest{c.fingerprint, t.crashes}
	return wharfoutcome.ReasonNone
}

// rejectWaiting refuses all waiting calls of the target, so that their senders can
// try another target; the caller holds the lock.
func (t *target) rejectWaiting(reason wharfoutcome.Reason) {
	for id := range t.waiters {
		t.gate.Cancel(id)
		t.notify(id, admission{outcome: wharfoutcome.Refuse(reason)})
	}
}

// instance returns the instance label of the target's last announcement, which
// identifies the incarnation of the target. It is empty if there is no such label.
func (t *target) instance() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.info.Labels[wharfmember.LabelInstance]
}

// endDispatch frees the slot of an admitted call and reports its latency and result
// to the gate.
func (t *target) endDispatch(c *call, latency time.Duration, result wharfadmission.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	delete(t.inFlight, c.id)
	if result == wharfadmission.Cancelled && c.dispatched {
		t.abandon(now, c)
	}
	t.apply(t.gate.Finish(now, c.id, latency, result))
}

// abandon records that a call was cancelled that the target may still run, and drops the
// records that are not needed any more; the caller holds the lock.
func (t *target) abandon(now time.Time, c *call) {
	t.abandoned = slices.DeleteFunc(t.abandoned, func(r abandonedRequest) bool { return !now.Before(r.deadline) })
	if extra := len(t.abandoned) + 1 - maxAbandoned; extra > 0 {
		t.abandoned = slices.Delete(t.abandoned, 0, extra)
	}
	t.abandoned = append(t.abandoned, abandonedRequest{c.fingerprint, c.deadline})
}

// recordCrash records a crash of the target, which the failure of call c has shown.
// A crash aborts all requests in flight one after another, and only the first of
// them counts as a new crash. recordCrash returns the fingerprints of the requests that the
// target may have been running, or nil if the crash was already counted.
func (t *target) recordCrash(c *call) []wharfquarantine.Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight[c.id].crashes < t.crashes {
		return nil
	}
	t.crashes++
	var all []wharfquarantine.Fingerprint
	for _, f := range t.inFlight {
		all = append(all, f.fingerprint)
	}
	now := time.Now()
	for _, r := range t.abandoned {
		if now.Before(r.deadline) {
			all = append(all, r.fingerprint)
		}
	}
	t.abandoned = nil
	return all
}

// load returns the load of the target as reported to the sender of c. The level is
// the lowest admission level of this target and of the downstream calls of c, and
// the queue delay is the longer one of this target and of downstream calls.
func (t *target) load(s *Server, c *call) *wharfwire.Load {
	downstreamDelay := s.Backpressure.DownstreamDelay()
	downstreamShares, downstreamCompletions := s.Backpressure.DownstreamShares()
	processor := s.Processor.Load()
	t.mu.Lock()
	l, wait := t.gate.Load(), t.gate.EstimatedWait(wharfadmission.LastRank)
	shares := t.shares.ReportAll(downstreamShares)
	completions := t.refusals.Shares().Min(downstreamCompletions)
	limit := processor.Limit(l.Limit, l.Running+l.Queued)
	t.meanLoad.Observe(time.Now(), float64(l.Running+l.Queued)/float64(max(limit, 1)))
	meanLoad, serviceTime := t.meanLoad.Mean(), t.times.Time(c.head.GetRoute(), t.slowness)
	t.mu.Unlock()
	admitted, _ := shares.Ranks.Admitted(int(c.head.GetRank()))
	low, high := shares.Ranks.Words()
	completedLow, completedHigh := completions.Words()
	level := min(l.Level, wharfadmission.LevelOpen-wharfadmission.Priority(c.downstream.LevelReduction))
	return &wharfwire.Load{
		InFlight:   uint32(l.Running),
		Queued:     uint32(l.Queued),
		Limit:      uint32(limit),
		RouteLevel: uint32(level),
		LowestRank: uint32(max(l.LeastImportantRank, 0)),
		Room:       uint32(l.QueueRoom),
		Internal:   !c.fromClient,
		PressureMs: uint32(max(wait, downstreamDelay).Milliseconds()),

		RejectedPermille: uint32((1 - admitted) * wharfwire.Permille),
		RankShares:       low,
		CompletionShares: completedLow,

		RankSharesHigh:       high,
		CompletionSharesHigh: completedHigh,
		AccountShares:        accountShares(shares.Accounts),

		ServiceTimeUs:    uint32(serviceTime.Microseconds()),
		MeanLoadPermille: uint32(meanLoad * wharfwire.Permille),
	}
}

// accountShares returns the shares of client accounts for a load report, nil if there are none.
func accountShares(shares []wharfadmission.AccountShare) []uint64 {
	if len(shares) == 0 {
		return nil
	}
	values := make([]uint64, len(shares))
	for i, s := range shares {
		values[i] = uint64(s)
	}
	return values
}
