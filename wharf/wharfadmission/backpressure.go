package wharfadmission

import (
	"math"
	"time"
)

const (
	// pressureWindow is the time over which pressure is averaged. It spans the
	// answers of several calls and a few round trips between nodes.
	pressureWindow = 100 * time.Millisecond
	// topRankPressure is the wait below at which even the most important fresh
	// work is held back. Each rank below it bears half as much, down to
	// leastPressure, so that the least important work gives way first on all
	// nodes that meet the same congestion, without talking to each other.
	topRankPressure = 160 * time.Millisecond
	leastPressure   = 20 * time.Millisecond
	// MaxPressure stands for a call that was turned away.
	MaxPressure = 250 * time.Millisecond
	// topRankCut is the deepest cut of the share of the most important rank in a
	// window. Each rank below it is cut deeper by rankCut, down to leastCut, so
	// that the less important gives way before the queue reaches what the more
	// important bears.
	topRankCut = 0.975
	rankCut    = 0.05
	leastCut   = 0.84
	// The share opens by openStep up to safeShare of where trouble began last, and
	// beyond by creepStep, which doubles every creepDouble windows. What is said of
	// a queue some hops below is late, and a share that opens faster has let in too
	// much before that is known.
	openStep    = 0.05
	safeShare   = 0.75
	creepStep   = 0.005
	creepDouble = 10
	// openWindows is the number of calm windows after which all is let in.
	openWindows = 100
	// fallingShare is the change of pressure between windows that means that the
	// queue already drains, so that no further cut is needed.
	fallingShare = 0.95
	// leastShare keeps some work coming, so that the pressure is measured.
	leastShare = 0.02
)

// Backpressure decides how much fresh work of each rank a target takes while the
// calls that it makes meet queues. Work that is let in and then fails for one of
// its calls has cost everything that was done for it. It isn't safe for
// concurrent use. The zero Backpressure lets everything in.
type Backpressure struct {
	windowStart time.Time
	sum         time.Duration
	count       int
	// withheld is the share of each rank that isn't let in.
	withheld [rankCount]float64
	// knee is the share at which trouble began last, and calm counts the windows
	// since then.
	knee [rankCount]float64
	calm [rankCount]int
	// pressure and before are those of the last two windows.
	pressure, before time.Duration
}

// Observe takes the wait that a call of the target met, there or below.
func (b *Backpressure) Observe(now time.Time, wait time.Duration) {
	b.turn(now)
	b.sum += min(wait, MaxPressure)
	b.count++
}

// Pressure returns the mean wait that the calls of the target meet.
func (b *Backpressure) Pressure(now time.Time) time.Duration {
	b.turn(now)
	return b.pressure
}

// Admit reports whether fresh work is let in. Requests of one user get the same
// verdict as long as the share stays.
func (b *Backpressure) Admit(now time.Time, p Priority) bool {
	b.turn(now)
	bucket := float64(int(p)%bucketsPerRank) / bucketsPerRank
	return bucket < 1-b.withheld[min(p.Rank(), rankCount-1)]
}

// Share returns the share of the work of a rank that is let in.
func (b *Backpressure) Share(now time.Time, rank int) float64 {
	b.turn(now)
	return 1 - b.withheld[min(max(rank, 0), rankCount-1)]
}

// turn ends the windows that have passed.
func (b *Backpressure) turn(now time.Time) {
	if b.windowStart.IsZero() {
		b.windowStart = now
		return
	}
	windows := int(now.Sub(b.windowStart) / pressureWindow)
	if windows == 0 {
		return
	}
	b.before, b.pressure = b.pressure, 0
	if b.count > 0 {
		b.pressure = b.sum / time.Duration(b.count)
	}
	b.sum, b.count = 0, 0
	b.windowStart = now
	b.move(1)
	if windows > 1 {
		// Windows without any call were calm.
		b.before, b.pressure = 0, 0
		b.move(windows - 1)
	}
}

// move adapts the shares for a number of windows with the present pressure.
func (b *Backpressure) move(windows int) {
	drains := float64(b.pressure) < fallingShare*float64(b.before)
	for rank := range b.withheld {
		let := 1 - b.withheld[rank]
		bears := bearable(rank)
		switch {
		case b.pressure <= bears:
			for range min(windows, openWindows) {
				let = b.open(rank, let)
			}
		case !drains:
			if b.calm[rank] > 0 {
				b.knee[rank], b.calm[rank] = let, 0
			}
			let = max(let*max(float64(bears)/float64(b.pressure), cutOf(rank)), leastShare)
		}
		b.withheld[rank] = 1 - let
	}
}

// open returns the share of a rank after one more calm window.
func (b *Backpressure) open(rank int, let float64) float64 {
	b.calm[rank]++
	creep := creepStep * math.Exp2(float64(b.calm[rank]/creepDouble))
	step := min(creep, openStep)
	if safe := safeShare * b.knee[rank]; let < safe {
		step = max(min(openStep, safe-let), step)
	}
	return min(let+step, 1)
}

// cutOf returns the deepest cut of a rank in a window.
func cutOf(rank int) float64 {
	return max(topRankCut-rankCut*float64(rank), leastCut)
}

// bearable returns the wait below that a rank bears.
func bearable(rank int) time.Duration {
	return max(topRankPressure>>min(rank, 8), leastPressure)
}
