package wharftarget

import (
	"time"

	"ragwortwharf.dev/wharf/wharfadmission"
	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfquarantine"
	"ragwortwharf.dev/wharf/wharfwire"
)

// admission is what a waiting call is told.
type admission struct {
	run     bool
	outcome wharfoutcome.Outcome
}

// admit lets a call wait for a slot of its target.
func (s *Server) admit(c *call) (wharfoutcome.Outcome, bool) {
	if !s.admitsClient(c) {
		s.abandonKey(c)
		return wharfoutcome.Refuse(wharfoutcome.ReasonOverloadBelow).WithRetryAfter(s.Backpressure.RetryAfter(c.ticketPriority())), false
	}
	if c.target.monitor.Unresponsive() {
		s.abandonKey(c)
		return wharfoutcome.Refuse(wharfoutcome.ReasonTargetSilent), false
	}
	o, run := c.target.admit(c)
	if !run {
		s.abandonKey(c)
		return o, false
	}
	if c.head.GetStreams() {
		admitted := &wharfwire.Admitted{AttemptId: c.head.GetAttemptId()}
		// A lost sender shows when the body is read.
		_ = c.stream.Send(&wharfwire.AnswerFrame{Admitted: admitted})
	}
	return o, true
}

// admitsClient decides whether work that begins here is let in. Calls made for work
// that was let in elsewhere go on.
func (s *Server) admitsClient(c *call) bool {
	return !c.fromClient || s.Backpressure.Admit(c.ticketPriority())
}

// admit waits until the call may run on the target. The outcome is the zero
// value if it may.
func (t *target) admit(c *call) (wharfoutcome.Outcome, bool) {
	decided := make(chan admission, 1)
	now := time.Now()
	ticket := c.ticket(now)
	t.mu.Lock()
	t.configure(c.config)
	t.waiters[c.id] = decided
	t.apply(t.gate.Offer(now, ticket))
	latest := t.gate.LatestStart(ticket)
	t.mu.Unlock()
	select {
	case a := <-decided:
		return a.outcome, a.run
	default:
	}
	// The sender hears of a refusal only if it comes before its own time is over.
	late := time.NewTimer(latest.Sub(now))
	defer late.Stop()
	select {
	case a := <-decided:
		return a.outcome, a.run
	case <-late.C:
		return t.cancel(c, decided, wharfoutcome.ReasonDeadline)
	case <-c.ctx.Done():
		return t.cancel(c, decided, c.endReason(c.ctx))
	}
}

// cancel takes a call back whose caller went away or whose time is over. If
// it was admitted in the same moment, its slot is freed.
func (t *target) cancel(c *call, decided <-chan admission, reason wharfoutcome.Reason) (wharfoutcome.Outcome, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiters, c.id)
	t.gate.Cancel(c.id)
	select {
	case a := <-decided:
		if a.run {
			t.apply(t.gate.Finish(time.Now(), c.id, 0, wharfadmission.Cancelled))
		}
	default:
	}
	return wharfoutcome.Refuse(reason).WithRetryAfter(t.gate.RetryAfter()), false
}

// apply tells waiting calls what the gate decided; the caller holds the lock.
func (t *target) apply(fx wharfadmission.Effects) {
	for _, id := range fx.Run {
		t.notify(id, admission{run: true})
	}
	for _, r := range fx.Refused {
		t.notify(r.ID, admission{outcome: r.Outcome})
	}
}

func (t *target) notify(id uint64, a admission) {
	decided, ok := t.waiters[id]
	if !ok {
		return
	}
	delete(t.waiters, id)
	decided <- a
}

// configure puts the reserves of the present classes in force; the caller
// holds the lock.
func (t *target) configure(config *wharfconfig.Snapshot) {
	if t.configured == config.Offset() {
		return
	}
	t.configured = config.Offset()
	var reserves []wharfadmission.Reserve
	for _, c := range config.Classes() {
		if c.Reserve > 0 {
			reserves = append(reserves, wharfadmission.Reserve{Rank: c.Rank, Share: c.Reserve})
		}
	}
	t.gate.SetReserves(reserves)
}

// beginDispatch notes that a call is being dispatched. It is false if the target has said
// in the meantime that it leaves.
func (t *target) beginDispatch(c *call) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving || t.info.Leaving {
		return false
	}
	t.inFlight[c.id] = inFlightRequest{c.fingerprint, t.crashes}
	return true
}

// rejectWaiting sends the waiting calls of a target elsewhere; the caller holds
// the lock.
func (t *target) rejectWaiting(reason wharfoutcome.Reason) {
	for id := range t.waiters {
		t.gate.Cancel(id)
		t.notify(id, admission{outcome: wharfoutcome.Refuse(reason)})
	}
}

// instance returns the life of the target that announced itself last.
func (t *target) instance() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.info.Labels[wharfmember.LabelInstance]
}

// endDispatch frees the slot of a call that was admitted.
func (t *target) endDispatch(c *call, latency time.Duration, result wharfadmission.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inFlight, c.id)
	t.apply(t.gate.Finish(time.Now(), c.id, latency, result))
}

// recordCrash counts a broken connection. All requests that were in flight when a
// target crashes break off one by one; they are one crash. It returns those
// that were in flight, or nil if the crash is already known.
func (t *target) recordCrash(c *call) ([]wharfquarantine.Fingerprint, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight[c.id].crashes < t.crashes {
		return nil, t.crashes
	}
	t.crashes++
	var all []wharfquarantine.Fingerprint
	for _, f := range t.inFlight {
		all = append(all, f.fingerprint)
	}
	return all, t.crashes
}

// load describes the target to senders. The level is the lowest that the call
// met here or below.
func (t *target) load(s *Server, c *call) *wharfwire.Load {
	below := s.Backpressure.DownstreamDelay()
	t.mu.Lock()
	l, wait := t.gate.Load(), t.gate.EstimatedWait()
	t.mu.Unlock()
	level := min(l.Level, wharfadmission.LevelOpen-wharfadmission.Priority(c.downstream.LevelReduction))
	return &wharfwire.Load{
		InFlight:   uint32(l.Running),
		Queued:     uint32(l.Queued),
		Limit:      uint32(l.Limit),
		RouteLevel: uint32(level),
		LowestRank: uint32(max(l.LowestRank, 0)),
		Room:       uint32(l.QueueRoom),
		Internal:   !c.fromClient,
		PressureMs: uint32(max(wait, below).Milliseconds()),
	}
}
