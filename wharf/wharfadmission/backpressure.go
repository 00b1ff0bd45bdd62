package wharfadmission

import (
	"math"
	"time"
)

const (
	// delayWindow is the time over which pressure is averaged. It spans the
	// answers of several calls and a few round trips between nodes.
	delayWindow = 100 * time.Millisecond
	// topRankDelayThreshold is the wait below at which even the most important fresh
	// work is held back. Each rank below it bears half as much, down to
	// minDelayThreshold, so that the least important work gives way first on all
	// nodes that meet the same congestion, without talking to each other.
	topRankDelayThreshold = 160 * time.Millisecond
	minDelayThreshold     = 20 * time.Millisecond
	// MaxQueueDelay stands for a call that was turned away.
	MaxQueueDelay = 250 * time.Millisecond
	// topRankCutFactor is the deepest cut of the share of the most important rank in a
	// window. Each rank below it is cut deeper by cutFactorPerRank, down to minCutFactor, so
	// that the less important gives way before the queue reaches what the more
	// important bears.
	topRankCutFactor = 0.975
	cutFactorPerRank = 0.05
	minCutFactor     = 0.84
	// The share opens by maxIncrease up to fastIncreaseShare of where trouble began last, and
	// beyond by minIncrease, which doubles every increaseDoublingWindows windows. What is said of
	// a queue some hops below is late, and a share that opens faster has let in too
	// much before that is known.
	maxIncrease             = 0.05
	fastIncreaseShare       = 0.75
	minIncrease             = 0.005
	increaseDoublingWindows = 10
	// maxIncreaseWindows is the number of calm windows after which all is let in.
	maxIncreaseWindows = 100
	// fallingShare is the change of pressure between windows that means that the
	// queue already drains, so that no further cut is needed.
	fallingShare = 0.95
	// minAdmittedShare keeps some work coming, so that the pressure is measured.
	minAdmittedShare = 0.02
)

// Backpressure decides how much fresh work of each rank a target takes while the
// calls that it makes meet queues. Work that is let in and then fails for one of
// its calls has cost everything that was done for it. It isn't safe for
// concurrent use. The zero Backpressure lets everything in.
type Backpressure struct {
	windowStart time.Time
	sum         time.Duration
	count       int
	// rejectedShare is the share of each rank that isn't let in.
	rejectedShare [rankCount]float64
	// congestionShare is the share at which trouble began last, and uncongestedWindows counts the windows
	// since then.
	congestionShare    [rankCount]float64
	uncongestedWindows [rankCount]int
	// queueDelay and lastQueueDelay are those of the last two windows.
	queueDelay, lastQueueDelay time.Duration
}

// Observe takes the wait that a call of the target met, there or below.
func (b *Backpressure) Observe(now time.Time, wait time.Duration) {
	b.advanceWindows(now)
	b.sum += min(wait, MaxQueueDelay)
	b.count++
}

// QueueDelay returns the mean wait that the calls of the target meet.
func (b *Backpressure) QueueDelay(now time.Time) time.Duration {
	b.advanceWindows(now)
	return b.queueDelay
}

// Admit reports whether fresh work is let in. Requests of one user get the same
// verdict as long as the share stays.
func (b *Backpressure) Admit(now time.Time, p Priority) bool {
	b.advanceWindows(now)
	bucket := float64(int(p)%bucketsPerRank) / bucketsPerRank
	return bucket < 1-b.rejectedShare[min(p.Rank(), rankCount-1)]
}

// AdmittedShare returns the share of the work of a rank that is let in.
func (b *Backpressure) AdmittedShare(now time.Time, rank int) float64 {
	b.advanceWindows(now)
	return 1 - b.rejectedShare[min(max(rank, 0), rankCount-1)]
}

// advanceWindows ends the windows that have passed.
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
		// Windows without any call were calm.
		b.lastQueueDelay, b.queueDelay = 0, 0
		b.adjustShares(windows - 1)
	}
}

// adjustShares adapts the shares for a number of windows with the present pressure.
func (b *Backpressure) adjustShares(windows int) {
	drains := float64(b.queueDelay) < fallingShare*float64(b.lastQueueDelay)
	for rank := range b.rejectedShare {
		let := 1 - b.rejectedShare[rank]
		bears := delayThreshold(rank)
		switch {
		case b.queueDelay <= bears:
			for range min(windows, maxIncreaseWindows) {
				let = b.increaseShare(rank, let)
			}
		case !drains:
			if b.uncongestedWindows[rank] > 0 {
				b.congestionShare[rank], b.uncongestedWindows[rank] = let, 0
			}
			let = max(let*max(float64(bears)/float64(b.queueDelay), maxCut(rank)), minAdmittedShare)
		}
		b.rejectedShare[rank] = 1 - let
	}
}

// increaseShare returns the share of a rank after one more calm window.
func (b *Backpressure) increaseShare(rank int, let float64) float64 {
	b.uncongestedWindows[rank]++
	creep := minIncrease * math.Exp2(float64(b.uncongestedWindows[rank]/increaseDoublingWindows))
	step := min(creep, maxIncrease)
	if safe := fastIncreaseShare * b.congestionShare[rank]; let < safe {
		step = max(min(maxIncrease, safe-let), step)
	}
	return min(let+step, 1)
}

// maxCut returns the deepest cut of a rank in a window.
func maxCut(rank int) float64 {
	return max(topRankCutFactor-cutFactorPerRank*float64(rank), minCutFactor)
}

// delayThreshold returns the wait below that a rank bears.
func delayThreshold(rank int) time.Duration {
	return max(topRankDelayThreshold>>min(rank, 8), minDelayThreshold)
}
