package wharfrouting

import (
	"math"
	"time"

	"ragwortwharf.dev/wharf/wharfadmission"
)

// Target is what membership and configuration say of a target.
type Target struct {
	// Address is that of the target itself and identifies it.
	Address string
	// Node is the id of its node and NodeAddress where the node listens.
	Node          string
	NodeAddress   string
	FailureDomain string
	Region        string
	Slots         int
	Leaving       bool
}

// LoadReport is what an answer says of the load of its target.
type LoadReport struct {
	Running int
	Queued  int
	Limit   int
	// LowestRank is the largest rank that waits.
	LowestRank int
	// QueueRoom is how many more requests may wait.
	QueueRoom int
	// RouteLevel is the lowest admission level that requests of this route met
	// at the target or below it.
	RouteLevel wharfadmission.Priority
	// QueueDelay is the wait at the target or at what it calls, whichever is longer.
	QueueDelay time.Duration
	// FromService says that this kind of request is a call of a service.
	FromService bool
	// RetryAfter is the advice that came with a refusal.
	RetryAfter time.Duration
}

// Result is how an attempt at a target ended.
type Result uint8

// Results of an attempt.
const (
	// Answered means that the target answered.
	Answered Result = iota
	// Refused means that the target's node did not run the request.
	Refused
	// Unreachable means that the node could not be reached, or was lost.
	Unreachable
	// TargetFailed means that the node lives but its target broke off.
	TargetFailed
	// ResponseLost means that the target lives and its answer was lost, or says that the
	// target has failed.
	ResponseLost
	// Cancelled means that the sender gave up; it says nothing of the target.
	Cancelled
)

const (
	// firstEjection is how long a target is left out at first; the time
	// doubles with each ejection in a row.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// failuresToEject is how many failures in a row eject a target whose node
	// can be reached. An unreachable node is ejected at once.
	failuresToEject = 3
	// panicThreshold is the share of ejected targets above which ejection is
	// ignored: then the trouble is not that of single targets.
	panicThreshold = 0.5
	// reportTTL is how long a report is believed.
	reportTTL = time.Second
	// slowStart is how long a new target is taken for busier than it says.
	slowStart = 5 * time.Second
	// slowStartCost multiplies the cost of a target that was just added.
	slowStartCost = 4.0
	// latencyWeight smooths the latency of a target.
	latencyWeight = 0.2

	// lossWeight smooths the share of answers that a target loses.
	lossWeight = 0.1
	// lossCost is what a target that fails all requests costs, in times that a
	// full one does. It is added, because one that fails is idle however loaded the
	// others are.
	lossCost = 3.0
	// lossHalfLife is the time in which what is known of losses counts half.
	lossHalfLife = 2 * time.Second

	otherDomainCost = 2.0
	otherRegionCost = 8.0
)

// targetState is what a node has learnt of a target from its own calls.
type targetState struct {
	Target
	// hash is that of the address.
	hash     uint64
	added    time.Time
	inFlight int
	latency  float64
	// losses is the share of answers that the target has lost of late.
	losses   float64
	lostLast time.Time
	report   LoadReport
	reported time.Time

	failures     int
	ejections    int
	ejectedUntil time.Time
}

func (s *targetState) ejected(now time.Time) bool {
	return now.Before(s.ejectedUntil)
}

func (s *targetState) fresh(now time.Time) bool {
	return !s.reported.IsZero() && now.Sub(s.reported) < reportTTL
}

// hasLowerPriorityQueued reports whether work less important than a rank is known to wait
// at the target, so that it would give way.
func (s *targetState) hasLowerPriorityQueued(now time.Time, rank int) bool {
	return s.fresh(now) && s.report.LowestRank > rank
}

// hasQueueRoom reports whether more requests are known to be let in at the target.
func (s *targetState) hasQueueRoom(now time.Time) bool {
	return s.fresh(now) && s.report.QueueRoom > 0
}

// cost estimates how long a request would take here, in arbitrary units.
func (s *targetState) cost(now time.Time, p Locality) float64 {
	limit, busy := s.Slots, s.inFlight
	if s.fresh(now) {
		limit = s.report.Limit
		busy = max(busy, s.report.Running+s.report.Queued)
	}
	cost := float64(busy+1)/float64(max(limit, 1)) + lossCost*s.lossRate(now)
	if s.latency > 0 {
		cost *= s.latency
	}
	if age := now.Sub(s.added); age < slowStart {
		cost *= 1 + (slowStartCost-1)*(1-age.Seconds()/slowStart.Seconds())
	}
	switch {
	case s.Region != p.Region:
		cost *= otherRegionCost
	case s.FailureDomain != p.FailureDomain:
		cost *= otherDomainCost
	}
	return cost
}

// lossRate returns the share of answers that the target loses. What is long past
// counts less, because a target that is spared shows little of itself.
func (s *targetState) lossRate(now time.Time) float64 {
	if s.losses == 0 {
		return 0
	}
	return s.losses * math.Exp2(-now.Sub(s.lostLast).Seconds()/lossHalfLife.Seconds())
}

// lost counts an answer that didn't come.
func (s *targetState) lost(now time.Time) {
	rate := s.lossRate(now)
	s.losses, s.lostLast = rate+lossWeight*(1-rate), now
}

// observe takes the result of one attempt.
func (s *targetState) observe(now time.Time, result Result, latency time.Duration) {
	switch result {
	case Answered:
		s.failures, s.ejections = 0, 0
		s.losses -= lossWeight * s.losses
		s.ejectedUntil = time.Time{}
		if s.latency == 0 {
			s.latency = latency.Seconds()
		}
		s.latency += latencyWeight * (latency.Seconds() - s.latency)
	case Unreachable:
		s.eject(now)
	case ResponseLost:
		s.lost(now)
	case TargetFailed:
		s.lost(now)
		s.failures++
		if s.failures >= failuresToEject {
			s.eject(now)
		}
	}
}

func (s *targetState) eject(now time.Time) {
	if s.ejected(now) {
		return
	}
	span := min(firstEjection<<min(s.ejections, 10), maxEjection)
	s.ejections++
	s.failures = 0
	s.ejectedUntil = now.Add(span)
}
