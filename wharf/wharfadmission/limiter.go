package wharfadmission

import (
	"math"
	"time"
)

// Result is how a dispatched request ended, as far as limits are concerned.
type Result uint8

// Results of a dispatch.
const (
	// Answered means that the target did its work.
	Answered Result = iota
	// Shed means that the target refused for overload.
	Shed
	// Failed means that the target gave no answer.
	Failed
	// DeadlineExceeded means that the deadline came first. The target needs at least the
	// latency of the sample.
	DeadlineExceeded
	// Cancelled means that the caller went away; it says nothing of the target.
	Cancelled
)

// Sample is what one finished dispatch shows of its target.
type Sample struct {
	Rank    int
	Latency time.Duration
	Result  Result
	// Saturated says that the limit was in use when the dispatch ended.
	Saturated bool
}

// Limiter follows how many requests a target can run at once.
type Limiter interface {
	Limit() int
	Observe(now time.Time, s Sample)
}

// Unlimited is the baseline variant without control.
type Unlimited struct{}

// Limit allows everything.
func (Unlimited) Limit() int { return math.MaxInt32 }

// Observe learns nothing.
func (Unlimited) Observe(time.Time, Sample) {}

// Fixed is a limit that follows from the announced slots alone, for targets that
// refuse by themselves what is beyond them.
type Fixed struct {
	limit int
}

// saturationShare is the share of its slots up to which a target keeps its speed.
const saturationShare = 0.95

// NewFixed returns the limiter of a target that announced its slots.
func NewFixed(slots int) Fixed {
	return Fixed{limit: max(int(saturationShare*float64(slots)), 1)}
}

// Limit returns the number of requests that may run.
func (f Fixed) Limit() int { return f.limit }

// Observe learns nothing.
func (Fixed) Observe(time.Time, Sample) {}

const (
	minLimit = 2
	// coldShare is the share of its slots that a new target starts with.
	coldShare = 0.125
	// minColdLimit is the least limit of a new target.
	minColdLimit = 4
)

// coldLimit is the limit of a target that has shown nothing yet.
func coldLimit(slots int) float64 {
	return min(max(coldShare*float64(slots), minColdLimit), float64(slots))
}

// clampLimit keeps a limit within what the target announced.
func clampLimit(limit float64, slots int) float64 {
	return min(max(limit, min(minLimit, float64(slots))), float64(slots))
}

// rankCount is the number of ranks that a class can have.
const rankCount = 16

// rankLatency keeps one smoothed latency for each rank, because the work of
// different classes differs in length.
type rankLatency [rankCount]float64

func (l *rankLatency) smooth(rank int, seconds, weight float64) {
	l[rank] = smooth(l[rank], seconds, weight)
}

// smooth moves an average towards a value by a weight. The first value is taken
// as it is.
func smooth(average, value, weight float64) float64 {
	if average == 0 {
		return value
	}
	return average + weight*(value-average)
}
