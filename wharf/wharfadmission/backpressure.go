package wharfadmission

import "time"

const (
	// pressureWindow is the time over which pressure is averaged. It spans the
	// answers of several calls and a few round trips between nodes.
	pressureWindow = 200 * time.Millisecond
	// topRankPressure is the wait below at which even the most important fresh
	// work is held back. Each rank below it bears half as much, down to
	// leastPressure, so that the least important work gives way first on all
	// nodes that meet the same congestion, without talking to each other.
	topRankPressure = 160 * time.Millisecond
	leastPressure   = 20 * time.Millisecond
	// MaxPressure stands for a call that was turned away.
	MaxPressure = 250 * time.Millisecond
	// leastFactor is the deepest cut of the share that is let in, once a window.
	// It opens by reopenStep, and by calmStep when hardly any wait is met.
	leastFactor = 0.7
	reopenStep  = 0.03
	calmStep    = 0.1
	calmShare   = 0.25
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
		case float64(b.pressure) <= calmShare*float64(bears):
			let = min(let+calmStep*float64(windows), 1)
		case b.pressure <= bears:
			let = min(let+reopenStep*float64(windows), 1)
		case !drains:
			let = max(let*max(float64(bears)/float64(b.pressure), leastFactor), leastShare)
		}
		b.withheld[rank] = 1 - let
	}
}

// bearable returns the wait below that a rank bears.
func bearable(rank int) time.Duration {
	return max(topRankPressure>>min(rank, 8), leastPressure)
}
