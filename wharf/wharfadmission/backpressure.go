package wharfadmission

import (
	"math"
	"time"
)

const (
	// delayWindow is the time over which the queue delay is averaged. It covers
	// the responses of several calls and a few round trips between nodes.
	delayWindow = 100 * time.Millisecond
	// topRankDelayThreshold is the downstream queue delay above which a target
	// rejects even client requests of the most important rank. The threshold
	// halves with each less important rank, down to minDelayThreshold, so that all
	// nodes whose calls meet the same congestion shed the least important requests
	// first, without any communication between the nodes.
	topRankDelayThreshold = 160 * time.Millisecond
	minDelayThreshold     = 20 * time.Millisecond
	// MaxQueueDelay is the longest queue delay that is recorded. It is also recorded
	// for a refused call, whose delay is unknown.
	MaxQueueDelay = 250 * time.Millisecond
	// topRankCutFactor is the smallest factor by which one window multiplies the
	// admitted share of the most important rank. The factor is smaller by
	// cutFactorPerRank for each less important rank, down to minCutFactor, so that
	// the less important ranks are shed before the queue delay reaches the
	// threshold of the more important ones.
	topRankCutFactor = 0.975
	cutFactorPerRank = 0.05
	minCutFactor     = 0.84
	// The admitted share grows by maxIncrease per window up to fastIncreaseShare
	// of the share at the last congestion. Above that it grows by minIncrease,
	// which doubles every increaseDoublingWindows windows. The reported delay of a
	// queue several hops downstream is out of date, so a share that grew faster
	// would admit too much before the report arrives.
	maxIncrease             = 0.05
	fastIncreaseShare       = 0.75
	minIncrease             = 0.005
	increaseDoublingWindows = 10
	// maxIncreaseWindows is the number of uncongested windows after which all
	// requests are admitted.
	maxIncreaseWindows = 100
	// drainingRatio is the ratio of the queue delay to that of the previous window
	// below which the queue is already draining, so that no decrease is needed.
	drainingRatio = 0.95
	// minAdmittedShare keeps some requests running, because the queue delay is
	// measured on their calls.
	minAdmittedShare = 0.02
)

// Backpressure decides which share of the client requests of each rank a target
// admits while its downstream calls meet queues. If a request is admitted and one
// of its calls then fails, all work done for the request is wasted. A Backpressure
// isn't safe for concurrent use. The zero Backpressure admits everything.
type Backpressure struct {
	windowStart time.Time
	sum         time.Duration
	count       int
	// rejectedShare is the share of the client requests of each rank that is
	// rejected.
	rejectedShare [rankCount]float64
	// congestionShare is the admitted share at which the last congestion began.
	// uncongestedWindows counts the windows without congestion since then.
	congestionShare    [rankCount]float64
	uncongestedWindows [rankCount]int
	// queueDelay and lastQueueDelay are the mean queue delays of the last window
	// and of the one before.
	queueDelay, lastQueueDelay time.Duration
}

// Observe records the queue delay that a call of the target met at the called
// target or further downstream.
func (b *Backpressure) Observe(now time.Time, wait time.Duration) {
	b.advanceWindows(now)
	b.sum += min(wait, MaxQueueDelay)
	b.count++
}

// QueueDelay returns the mean queue delay of the target's calls in the last
// window. It is zero if there were no calls.
func (b *Backpressure) QueueDelay(now time.Time) time.Duration {
	b.advanceWindows(now)
	return b.queueDelay
}

// Admit reports whether a client request is admitted. Requests that belong to one
// user request get the same decision as long as the share doesn't change.
func (b *Backpressure) Admit(now time.Time, p Priority) bool {
	b.advanceWindows(now)
	return p.admittedBy(1 - b.rejectedShare[min(p.Rank(), rankCount-1)])
}

// AdmittedShare returns the share of the client requests of a rank that is
// admitted.
func (b *Backpressure) AdmittedShare(now time.Time, rank int) float64 {
	b.advanceWindows(now)
	return 1 - b.rejectedShare[clampRank(rank)]
}

// advanceWindows evaluates the windows that have ended.
func (b *Backpressure) advanceWindows(now time.Time) {
	if b.windowStart.IsZero() {
		b.windowStart = now
		return
	}
	windows := int(now.Sub(b.windowStart) / delayWindow)
	if windows == 0 {
		return
	}
	b.lastQueueDelay, b.queueDelay = b.queueDelay, 0
	if b.count > 0 {
		b.queueDelay = b.sum / time.Duration(b.count)
	}
	b.sum, b.count = 0, 0
	b.windowStart = now
	b.adjustShares(1)
	if windows > 1 {
		// There were no calls in the other windows, so they were uncongested.
		b.lastQueueDelay, b.queueDelay = 0, 0
		b.adjustShares(windows - 1)
	}
}

// adjustShares updates the admitted shares for a number of windows with the
// current queue delay.
func (b *Backpressure) adjustShares(windows int) {
	draining := float64(b.queueDelay) < drainingRatio*float64(b.lastQueueDelay)
	for rank := range b.rejectedShare {
		admitted := 1 - b.rejectedShare[rank]
		threshold := delayThreshold(rank)
		switch {
		case b.queueDelay <= threshold:
			for range min(windows, maxIncreaseWindows) {
				admitted = b.increaseShare(rank, admitted)
			}
		case !draining:
			if b.uncongestedWindows[rank] > 0 {
				b.congestionShare[rank], b.uncongestedWindows[rank] = admitted, 0
			}
			admitted = max(admitted*max(float64(threshold)/float64(b.queueDelay), cutFactor(rank)), minAdmittedShare)
		}
		b.rejectedShare[rank] = 1 - admitted
	}
}

// increaseShare returns the admitted share of a rank after one more uncongested
// window.
func (b *Backpressure) increaseShare(rank int, admitted float64) float64 {
	b.uncongestedWindows[rank]++
	increase := minIncrease * math.Exp2(float64(b.uncongestedWindows[rank]/increaseDoublingWindows))
	step := min(increase, maxIncrease)
	if fastLimit := fastIncreaseShare * b.congestionShare[rank]; admitted < fastLimit {
		step = max(min(maxIncrease, fastLimit-admitted), step)
	}
	return min(admitted+step, 1)
}

// cutFactor returns the smallest factor by which one window multiplies the admitted
// share of a rank.
func cutFactor(rank int) float64 {
	return max(topRankCutFactor-cutFactorPerRank*float64(rank), minCutFactor)
}

// delayThreshold returns the downstream queue delay above which the admitted
// share of a rank decreases.
func delayThreshold(rank int) time.Duration {
	return max(topRankDelayThreshold>>min(rank, 8), minDelayThreshold)
}
