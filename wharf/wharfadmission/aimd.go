package wharfadmission

import (
	"math"
	"time"
)

const (
	// aimdWindow is the shortest time between two updates of the limit.
	aimdWindow = 100 * time.Millisecond
	// aimdMinSamples is the smallest number of samples between two updates.
	aimdMinSamples = 5
	// congestedRatio is the ratio of latency to baseline at and above which the
	// limiter assumes that requests queue in the target.
	congestedRatio = 2.0
	// decreaseFactor multiplies the limit on congestion.
	decreaseFactor = 0.7
	// minFallShare is a share of the fall of latency that is expected after a
	// decrease of the limit. If latency changes by less, the number of requests did
	// not cause the congestion.
	minFallShare = 0.5
	// maxSteadyChange is the relative change of latency between two windows up
	// to which latency counts as steady.
	maxSteadyChange = 0.25
	// maxUnsteadyWindows is how many windows the first decrease waits for steady
	// latency.
	maxUnsteadyWindows = 3
	// unservedThreshold is the share of shed or failed samples above which the
	// limiter assumes congestion.
	unservedThreshold = 0.1
)

// AIMD is a limiter with additive increase and multiplicative decrease. It
// raises the limit after each window of full use and multiplies it by
// decreaseFactor when latency shows that requests queue in the target.
//
// If latency doesn't fall after a decrease, the target is slow for a reason other
// than the number of its requests. Then the measured latency becomes the
// baseline and the limit grows again, because a lower limit would only waste
// capacity.
//
// An AIMD isn't safe for concurrent use.
type AIMD struct {
	slots     int
	limit     float64
	slowStart bool
	baseline  rankLatency
	window    sampleWindow
	// ratioAtDecrease is the latency ratio that caused the last decrease. It is
	// zero if the last update was no decrease or was caused by unserved samples.
	ratioAtDecrease float64
	// limitBeforeDecreases is the limit before the first of several consecutive
	// decreases.
	limitBeforeDecreases float64
	// lastRatio is the latency ratio of the previous congested window.
	// unsteadyWindows counts the congested windows for which the first decrease
	// has waited.
	lastRatio       float64
	unsteadyWindows int
	// settling skips the window in which requests finish that started before a
	// decrease.
	settling bool
}

// NewAIMD returns the limiter of a target that announced a number of slots. It
// begins with slow start.
func NewAIMD(slots int) *AIMD {
	return &AIMD{slots: slots, limit: initialLimit(slots), slowStart: true}
}

// Limit returns the number of requests that may run.
func (a *AIMD) Limit() int {
	return int(a.limit)
}

// Observe adds one sample and updates the limit at the end of a window.
func (a *AIMD) Observe(now time.Time, s Sample) {
	if s.Result == Cancelled {
		return
	}
	a.window.add(now, s, &a.baseline)
	if a.slowStart && s.Result == Responded && s.Saturated {
		a.limit = clampLimit(a.limit+1, a.slots)
	}
	if !a.window.complete(now) {
		return
	}
	a.decide()
	a.window.restart(now)
}

func (a *AIMD) decide() {
	if a.settling {
		a.settling = false
		return
	}
	latencyRatio := a.window.latencyRatio()
	overloaded := a.window.unservedShare() > unservedThreshold
	switch {
	case overloaded:
		a.decrease(0)
	case latencyRatio < congestedRatio:
		a.increase()
	case a.ratioAtDecrease > 0 && latencyUnchanged(a.ratioAtDecrease, latencyRatio):
		a.resetBaseline(latencyRatio)
	case a.ratioAtDecrease == 0 && !a.steady(latencyRatio):
		// Wait for steady latency: the window may also hold samples from before
		// the congestion began. After a decrease now, a change of latency could
		// come from the decrease or from the congestion.
	default:
		a.decrease(latencyRatio)
	}
}

// latencyUnchanged reports whether latency stayed about the same after a decrease
// of the limit. It reports false for a clear rise: the congestion was still
// growing, so the rise shows nothing about the decrease.
func latencyUnchanged(before, after float64) bool {
	// The part of the latency above the baseline is taken as time in the queue. It
	// is expected to fall in proportion to the limit.
	expectedFall := (before - 1) * (1 - decreaseFactor)
	fall := before - after
	return math.Abs(fall) < minFallShare*expectedFall
}

// steady reports whether latency is about the same as in the previous window.
// After maxUnsteadyWindows windows it always reports true.
func (a *AIMD) steady(ratio float64) bool {
	last := a.lastRatio
	a.lastRatio = ratio
	a.unsteadyWindows++
	return math.Abs(ratio-last) <= maxSteadyChange*last || a.unsteadyWindows > maxUnsteadyWindows
}

func (a *AIMD) decrease(ratio float64) {
	a.lastRatio, a.unsteadyWindows = 0, 0
	if a.ratioAtDecrease == 0 {
		a.limitBeforeDecreases = a.limit
	}
	a.limit = clampLimit(a.limit*decreaseFactor, a.slots)
	a.slowStart = false
	a.ratioAtDecrease = ratio
	a.settling = true
}

// resetBaseline makes the latency of the window the baseline. For a rank without
// samples in the window it assumes that the rank slowed down as much as the
// others.
func (a *AIMD) resetBaseline(ratio float64) {
	for rank := range a.baseline {
		if mean, ok := a.window.mean(rank); ok {
			a.baseline[rank] = mean
		} else {
			a.baseline[rank] *= ratio
		}
	}
	a.limit = a.limitBeforeDecreases
	a.ratioAtDecrease = 0
	a.slowStart = true
}

func (a *AIMD) increase() {
	a.ratioAtDecrease = 0
	a.lastRatio, a.unsteadyWindows = 0, 0
	for rank := range a.baseline {
		// The baseline rises only in resetBaseline. If it followed the current
		// latency, latency with a queue would count as normal, and the limit would
		// keep growing.
		if mean, ok := a.window.mean(rank); ok {
			a.baseline[rank] = min(a.baseline[rank], mean)
		}
	}
	if a.window.saturated && !a.slowStart {
		a.limit = clampLimit(a.limit+math.Max(1, a.limit/16), a.slots)
	}
}

// sampleWindow sums up the samples between two updates of the limit.
type sampleWindow struct {
	started       time.Time
	count         int
	unserved      int
	saturated     bool
	latencySums   [rankCount]float64
	latencyCounts [rankCount]int
	ratioSum      float64
}

func (w *sampleWindow) add(now time.Time, s Sample, baseline *rankLatency) {
	if w.started.IsZero() {
		w.started = now
	}
	w.saturated = w.saturated || s.Saturated
	w.count++
	if s.Result == Shed || s.Result == Failed {
		w.unserved++
		return
	}
	seconds := s.Latency.Seconds()
	if baseline[s.Rank] == 0 {
		baseline[s.Rank] = seconds
	}
	w.latencySums[s.Rank] += seconds
	w.latencyCounts[s.Rank]++
	w.ratioSum += seconds / max(baseline[s.Rank], float64(time.Microsecond)/float64(time.Second))
}

func (w *sampleWindow) complete(now time.Time) bool {
	return w.count >= aimdMinSamples && now.Sub(w.started) >= aimdWindow
}

func (w *sampleWindow) restart(now time.Time) {
	*w = sampleWindow{started: now}
}

// latencyRatio returns the mean ratio of latency to baseline.
func (w *sampleWindow) latencyRatio() float64 {
	if w.count == w.unserved {
		return 1
	}
	return w.ratioSum / float64(w.count-w.unserved)
}

func (w *sampleWindow) unservedShare() float64 {
	return float64(w.unserved) / float64(max(w.count, 1))
}

func (w *sampleWindow) mean(rank int) (float64, bool) {
	if w.latencyCounts[rank] == 0 {
		return 0, false
	}
	return w.latencySums[rank] / float64(w.latencyCounts[rank]), true
}
