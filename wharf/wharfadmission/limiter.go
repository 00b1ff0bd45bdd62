package wharfadmission

import (
	"math"
	"time"
)

// Result is the end of a dispatched request, as a limiter classifies it.
type Result uint8

// Results of a dispatch.
const (
	// Responded means that the target processed the request and responded.
	Responded Result = iota
	// Shed means that the target refused the request because of overload.
	Shed
	// Failed means that the target sent no response.
	Failed
	// DeadlineExceeded means that the deadline passed before the response. The
	// response would have taken at least the latency of the sample.
	DeadlineExceeded
	// Cancelled means that the caller disconnected. The sample contains no
	// information about the target.
	Cancelled
)

// Sample is the measurement of one finished dispatch.
type Sample struct {
	Rank    int
	Latency time.Duration
	Result  Result
	// Saturated reports whether the whole limit was in use when the dispatch ended.
	Saturated bool
}

// Limiter estimates how many requests a target can run at once.
type Limiter interface {
	Limit() int
	Observe(now time.Time, s Sample)
}

// Unlimited is a Limiter without a limit. It is the baseline for comparisons.
type Unlimited struct{}

// Limit returns the largest 32-bit integer.
func (Unlimited) Limit() int { return math.MaxInt32 }

// Observe does nothing.
func (Unlimited) Observe(time.Time, Sample) {}

// Fixed is a limit that depends only on the announced slots. It is for targets
// that refuse requests beyond their slots themselves.
type Fixed struct {
	limit int
}

// saturationShare is the share of its slots up to which a target doesn't slow down.
const saturationShare = 0.95

// NewFixed returns the limiter of a target that announced a number of slots.
func NewFixed(slots int) Fixed {
	return Fixed{limit: max(int(saturationShare*float64(slots)), 1)}
}

// Limit returns the number of requests that may run.
func (f Fixed) Limit() int { return f.limit }

// Observe does nothing.
func (Fixed) Observe(time.Time, Sample) {}

const (
	minLimit = 2
	// initialShare is the share of its slots that a new target starts with.
	initialShare = 0.125
	// minInitialLimit is the smallest limit of a new target, unless the target has
	// fewer slots.
	minInitialLimit = 4
)

// initialLimit returns the limit of a target without samples.
func initialLimit(slots int) float64 {
	return min(max(initialShare*float64(slots), minInitialLimit), float64(slots))
}

// clampLimit bounds a limit to the range from minLimit to the announced slots. The
// slots take precedence.
func clampLimit(limit float64, slots int) float64 {
	return min(max(limit, min(minLimit, float64(slots))), float64(slots))
}

// rankCount is the number of ranks; a larger rank counts as the last one.
const rankCount = 16

// LastRank is the least important rank.
const LastRank = rankCount - 1

// clampRank bounds a rank to the range from zero to LastRank.
func clampRank(rank int) int {
	return min(max(rank, 0), LastRank)
}

// rankLatency holds one moving average of latency per rank, in seconds, because
// requests of different classes take different times.
type rankLatency [rankCount]float64

func (l *rankLatency) smooth(rank int, seconds, weight float64) {
	l[rank] = smooth(l[rank], seconds, weight)
}

// smooth returns an exponentially weighted moving average after a new value. An
// average of zero is replaced by the value.
func smooth(average, value, weight float64) float64 {
	if average == 0 {
		return value
	}
	return average + weight*(value-average)
}
