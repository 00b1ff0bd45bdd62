package wharftarget

import (
	"time"

	"ragwortwharf.dev/wharfnode/wharfevents"
	"ragwortwharf.dev/wharfnode/wharfprotocol"
)

// recordStatus applies what a target says of itself in a response. All calls to a target
// pass its node, so that a limit which the node keeps holds for all nodes together.
func (s *Server) recordStatus(c *call, status wharfprotocol.TargetStatus) {
	t := c.target
	if status.Leaving && !t.isLeaving() {
		s.LeavingTargets.TargetSaysLeaving(c.dispatchInfo.Instance, t.address)
	}
	t.recordSlowness(status.Slowness)
	began, ended := t.recordRate(time.Now(), status)
	switch {
	case began:
		s.Log.Emit(wharfevents.TargetRateLimited,
			wharfevents.Field{Name: "target", Value: t.address},
			wharfevents.Field{Name: "per-second", Value: status.RateLimit})
	case ended:
		s.Log.Emit(wharfevents.TargetRateLifted, wharfevents.Field{Name: "target", Value: t.address})
	}
}

// isLeaving reports whether the target gets no new calls.
func (t *target) isLeaving() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leavingLocked()
}

// recordSlowness records what a response says of how long work takes now.
func (t *target) recordSlowness(slowness float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slowness = slowness
}

// recordServiceTime records how long a call that the target ran to its end occupied a slot. A
// target that fails fast would look fast otherwise.
func (t *target) recordServiceTime(c *call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.times.Observe(now, c.head.GetRoute(), now.Sub(c.dispatchedAt), t.slowness)
}

// recordRate applies the rate limit that a response names, or that it names none. It
// reports whether a limit began or ended.
func (t *target) recordRate(now time.Time, status wharfprotocol.TargetStatus) (began, ended bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if status.Limited {
		return t.gate.SetRate(now, status.RateLimit), false
	}
	fx, ended := t.gate.LiftRate(now)
	t.apply(fx)
	return false, ended
}
