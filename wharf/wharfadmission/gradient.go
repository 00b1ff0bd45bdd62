package wharfadmission

import (
	"math"
	"time"
)

const (
	// gradientLongWeight smooths the long-term latency.
	gradientLongWeight = 0.002
	// gradientTolerance is the rise of latency that is taken as noise.
	gradientTolerance = 1.5
	// gradientFloor bounds the cut of one window.
	gradientFloor = 0.5
	// gradientSmoothing is the weight of a new limit.
	gradientSmoothing = 0.2
)

// Gradient sets the limit by the ratio of long-term to present latency, and
// leaves room for a queue of the square root of the limit. It is kept to be
// measured against AIMD.
type Gradient struct {
	slots  int
	limit  float64
	long   rankLatency
	window sampleWindow
}

// NewGradient returns the limiter of a target that announced its slots.
func NewGradient(slots int) *Gradient {
	return &Gradient{slots: slots, limit: coldLimit(slots)}
}

// Limit returns the number of requests that may run.
func (g *Gradient) Limit() int {
	return int(g.limit)
}

// Observe takes one sample and, at the end of a window, decides.
func (g *Gradient) Observe(now time.Time, s Sample) {
	if s.Result == Cancelled {
		return
	}
	g.window.add(now, s, &g.long)
	if s.Result == Answered {
		g.long.smooth(s.Rank, s.Latency.Seconds(), gradientLongWeight)
	}
	if !g.window.complete(now) {
		return
	}
	if g.window.saturated || g.window.refused > 0 {
		g.decide()
	}
	g.window.restart(now)
}

func (g *Gradient) decide() {
	gradient := min(max(gradientTolerance/g.window.ratio(), gradientFloor), 1)
	if g.window.refusedShare() > shedShare {
		gradient = gradientFloor
	}
	next := g.limit*gradient + math.Sqrt(g.limit)
	g.limit = clampLimit(g.limit+gradientSmoothing*(next-g.limit), g.slots)
}
