package wharfrouting

import (
	"cmp"
	"math"
	"time"

	"ragwortwharf.dev/wharf/wharfadmission"
)

// Target describes a target as known from membership and configuration.
type Target struct {
	// Address is the address of the target itself and identifies the target.
	Address string
	// Node is the id of the target's node, and NodeAddress is the address on which
	// that node listens.
	Node          string
	NodeAddress   string
	FailureDomain string
	Region        string
	Slots         int
	Leaving       bool
	// Instance changes with each start of the target. It is empty if that isn't known.
	Instance string
}

// sameIncarnation reports whether two descriptions are of the same process, as far as is known.
func (t Target) sameIncarnation(other Target) bool {
	return t.Instance == other.Instance || t.Instance == "" || other.Instance == ""
}

// LoadReport is the load of a target as reported in a response.
type LoadReport struct {
	Running int
	Queued  int
	Limit   int
	// LeastImportantRank is the rank of the least important queued request, which
	// is the largest rank number. It is zero if the queue is empty.
	LeastImportantRank int
	// QueueRoom is the number of requests that the queue can still take.
	QueueRoom int
	// RouteLevel is the lowest admission level for requests of this route at the
	// target or downstream of it.
	RouteLevel wharfadmission.Priority
	// QueueDelay is the queue delay at the target or downstream of it, whichever
	// is longer.
	QueueDelay time.Duration
	// Shares are the shares of the client requests of the ranks that the target and the
	// services downstream of it can serve.
	Shares wharfadmission.RankShares
	// AccountShares holds those of the client accounts that get less than their rank.
	AccountShares []wharfadmission.AccountShare
	// RejectedShare is the share of the client requests of the call's rank that isn't
	// admitted, for a node that doesn't report Shares.
	RejectedShare float64
	// CompletionShares are the shares whose calls are completed, although targets refuse
	// calls.
	CompletionShares wharfadmission.RankShares
	// FromService is true if requests of this route are calls by a service, not
	// by a client.
	FromService bool
	// RetryAfter is the retry-after hint of a refusal, zero if there is none.
	RetryAfter time.Duration
	// ServiceTime is how long a request of this route occupies a slot of the target now, zero
	// if that isn't known.
	ServiceTime time.Duration
	// MeanLoad is the mean of the running and queued requests over the last time, as a share of
	// the limit, zero if that isn't known.
	MeanLoad float64
}

// Result classifies the end of an attempt at a target.
type Result uint8

// Results of an attempt.
const (
	// Responded means that the target sent a complete response.
	Responded Result = iota
	// Refused means that the target's node refused the request and did not run it.
	Refused
	// Unreachable means that the target's node could not be reached, or that the
	// connection to it was lost.
	Unreachable
	// TargetFailed means that the node is alive, but its target broke the
	// connection or could not be reached.
	TargetFailed
	// ResponseLost means that the target is alive, but its response was lost or
	// incomplete, or reported a failure of the target, or that the target refused a
	// request for which it had a free slot.
	ResponseLost
	// Cancelled means that the sender cancelled the attempt. The result does not
	// count for or against the target.
	Cancelled
)

const (
	// initialEjection is the duration of the first ejection of a target. The
	// duration doubles with each consecutive ejection, up to maxEjection
	// (exponential backoff).
	initialEjection = time.Second
	maxEjection     = 30 * time.Second
	// failuresToEject is the number of consecutive failures after which a target
	// whose node is reachable is ejected. The target of an unreachable node is
	// ejected at once.
	failuresToEject = 3
	// panicThreshold is the share of ejected targets above which ejection is
	// ignored, because the fault is then not in single targets.
	panicThreshold = 0.5
	// reportTTL is the age at which a load report expires.
	reportTTL = time.Second
	// slowStartWindow is the time for which the cost of a new target is raised.
	slowStartWindow = 5 * time.Second
	// slowStartFactor multiplies the cost of a target that was just added. The
	// factor falls linearly to 1 over slowStartWindow.
	slowStartFactor = 4.0
	// latencyWeight is the weight of a new latency in the moving average.
	latencyWeight = 0.2

	// lossWeight is the weight of a new response or loss in the moving average of
	// the lost share.
	lossWeight = 0.1
	// lossCost is the cost of losing all responses, as a multiple of the cost of a
	// fully loaded target. It is added to the load, not multiplied with it: a target
	// that loses its requests has almost no load, however loaded the others are, so
	// a multiple of its load would still be the lowest cost.
	lossCost = 3.0
	// lossHalfLife is the time in which the weight of past losses halves.
	lossHalfLife = 2 * time.Second

	// lightLoad is the load, as a share of the limit, up to which a target responds no
	// slower than an idle one. A lower load doesn't lower the cost, so that a request
	// leaves the failure domain only for a target that is faster, or once the targets of
	// the domain are busy.
	lightLoad = 0.4
	// heavyLoad is the load, as a share of the limit, above which requests soon wait.
	heavyLoad = 0.8

	// otherDomainFactor and otherRegionFactor multiply the cost of a target in
	// another failure domain and in another region. The advantage of the own domain shrinks
	// above the load heavyLoad of its target, and is gone once that is full.
	otherDomainFactor = 2.0
	otherRegionFactor = 8.0
)

// targetState is the state of a target as collected from this node's own attempts.
type targetState struct {
	Target
	// hash is the hash of the address.
	hash uint64
	// slowUntil is the end of the slow start.
	slowUntil time.Time
	inFlight  int
	latency   float64
	// lossShare is the moving average of the share of lost responses, as of
	// lastLoss. See lossRate for its present value.
	lossShare float64
	lastLoss  time.Time
	// report is the last load report, which expires at reportUntil.
	report      LoadReport
	reportUntil time.Time

	// tier is the distance from the sender.
	tier int
	// slowness is the moving average of how long work takes, relative to the mean of the
	// targets, zero before the first response.
	slowness      float64
	slownessCount int
	slownessAt    time.Time
	// limit is the moving average of the reported limits, as of limitAt, or the slots before the
	// first report. load is the load by the last report, and weight the capacity.
	limit, load, weight float64
	limitAt             time.Time
	// readyUntil is the time until which a response counts that showed room.
	readyUntil time.Time

	// unreachable is true if the last attempt found the target's node unreachable.
	unreachable  bool
	failures     int
	ejections    int
	ejectedUntil time.Time
}

func (s *targetState) ejected(now time.Time) bool {
	return now.Before(s.ejectedUntil)
}

// hasCurrentReport reports whether there is a load report that has not expired.
func (s *targetState) hasCurrentReport(now time.Time) bool {
	return now.Before(s.reportUntil)
}

// hasLowerPriorityQueued reports whether the target is known to queue a request
// that is less important than the rank. The target would shed that request first.
func (s *targetState) hasLowerPriorityQueued(now time.Time, rank int) bool {
	return s.report.LeastImportantRank > rank && s.hasCurrentReport(now)
}

// hasQueueRoom reports whether the target is known to have queue capacity left.
func (s *targetState) hasQueueRoom(now time.Time) bool {
	return s.hasCurrentReport(now) && s.report.QueueRoom > 0
}

// cost estimates the duration of a request at the target, in arbitrary units. The
// locality p is that of the sender. A target without a latency of its own is taken to
// have the usual latency of the service.
func (s *targetState) cost(now time.Time, p Locality, usualLatency float64) float64 {
	limit, busy := s.Slots, s.inFlight
	if s.hasCurrentReport(now) {
		limit = s.report.Limit
		busy = max(busy, s.report.Running+s.report.Queued)
	}
	load := max(float64(busy+1)/float64(max(limit, 1)), lightLoad)
	cost := load + lossCost*s.lossRate(now)
	if latency := cmp.Or(s.latency, usualLatency); latency > 0 {
		cost *= latency
	}
	cost *= s.slowStart(now)
	switch {
	case s.Region != p.Region:
		cost *= otherRegionFactor
	case s.FailureDomain != p.FailureDomain:
		cost *= otherDomainFactor
	default:
		cost *= 1 + (otherDomainFactor-1)*min(max((load-heavyLoad)/(1-heavyLoad), 0), 1)
	}
	return cost
}

// slowStart returns the factor for the cost of a target by the time since it was added.
func (s *targetState) slowStart(now time.Time) float64 {
	if !now.Before(s.slowUntil) {
		return 1
	}
	return 1 + (slowStartFactor-1)*s.slowUntil.Sub(now).Seconds()/slowStartWindow.Seconds()
}

// lossRate returns the share of responses that the target loses. Past losses decay
// with lossHalfLife, because a target with a high cost receives too few requests
// to show that it has recovered.
func (s *targetState) lossRate(now time.Time) float64 {
	if s.lossShare == 0 {
		return 0
	}
	return s.lossShare * math.Exp2(-now.Sub(s.lastLoss).Seconds()/lossHalfLife.Seconds())
}

// recordLoss records a lost response.
func (s *targetState) recordLoss(now time.Time) {
	rate := s.lossRate(now)
	s.lossShare, s.lastLoss = rate+lossWeight*(1-rate), now
}

// smoothLatency returns a moving average, in seconds, after a new latency. An average
// of zero is replaced.
func smoothLatency(average float64, latency time.Duration) float64 {
	if average == 0 {
		return latency.Seconds()
	}
	return average + latencyWeight*(latency.Seconds()-average)
}

// observe records the result of one attempt.
func (s *targetState) observe(now time.Time, result Result, latency time.Duration) {
	if result != Cancelled {
		s.unreachable = result == Unreachable
	}
	switch result {
	case Responded:
		s.failures, s.ejections = 0, 0
		s.lossShare -= lossWeight * s.lossShare
		s.ejectedUntil = time.Time{}
		s.latency = smoothLatency(s.latency, latency)
	case Unreachable:
		s.eject(now)
	case ResponseLost:
		s.recordLoss(now)
	case TargetFailed:
		s.recordLoss(now)
		s.failures++
		if s.failures >= failuresToEject {
			s.eject(now)
		}
	}
}

// eject ejects the target, unless it is already ejected.
func (s *targetState) eject(now time.Time) {
	if s.ejected(now) {
		return
	}
	duration := min(initialEjection<<min(s.ejections, 10), maxEjection)
	s.ejections++
	s.failures = 0
	s.ejectedUntil = now.Add(duration)
}
