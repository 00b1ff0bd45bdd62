package wharfadmission

import (
	"math"
	"time"
)

const (
	// gradientLongWeight is the weight of a new sample in the long-term latency.
	gradientLongWeight = 0.002
	// gradientTolerance is the ratio of current to long-term latency up to which a
	// rise counts as noise.
	gradientTolerance = 1.5
	// minGradient is the smallest factor that one window applies to the limit.
	minGradient = 0.5
	// gradientSmoothing is the weight of the newly computed limit.
	gradientSmoothing = 0.2
)

// Gradient is a limiter that multiplies the limit by the ratio of long-term to
// current latency and adds the square root of the limit as an allowance for a
// queue. It exists for comparison with AIMD. It isn't safe for concurrent use.
type Gradient struct {
	slots    int
	limit    float64
	longTerm rankLatency
	window   sampleWindow
}

// NewGradient returns the limiter of a target that announced a number of slots.
func NewGradient(slots int) *Gradient {
	return &Gradient{slots: slots, limit: initialLimit(slots)}
}

// Limit returns the number of requests that may run.
func (g *Gradient) Limit() int {
	return int(g.limit)
}

// Observe adds one sample and updates the limit at the end of a window.
func (g *Gradient) Observe(now time.Time, s Sample) {
	if s.Result == Cancelled {
		return
	}
	g.window.add(now, s, &g.longTerm)
	if s.Result == Responded {
		g.longTerm.smooth(s.Rank, s.Latency.Seconds(), gradientLongWeight)
	}
	if !g.window.complete(now) {
		return
	}
	if g.window.saturated || g.window.unserved > 0 {
		g.decide()
	}
	g.window.restart(now)
}

func (g *Gradient) decide() {
	gradient := min(max(gradientTolerance/g.window.latencyRatio(), minGradient), 1)
	if g.window.unservedShare() > unservedThreshold {
		gradient = minGradient
	}
	next := g.limit*gradient + math.Sqrt(g.limit)
	g.limit = clampLimit(g.limit+gradientSmoothing*(next-g.limit), g.slots)
}
