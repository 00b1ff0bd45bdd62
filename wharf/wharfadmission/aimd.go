package wharfadmission

import (
	"math"
	"time"
)

const (
	// aimdWindow is the least time between two decisions on the limit.
	aimdWindow = 100 * time.Millisecond
	// aimdMinSamples is the least number of samples that decide.
	aimdMinSamples = 5
	// congestedRatio is the latency, in baselines, that means queueing.
	congestedRatio = 2.0
	// decreaseFactor is applied to the limit on congestion.
	decreaseFactor = 0.7
	// relievedShare is how far latency must fall, relative to the cut of the
	// limit, to show that the limit was the cause.
	relievedShare = 0.5
	// steadyShare is the change of latency between windows that counts as none.
	steadyShare = 0.25
	// maxUnsteady is how many windows a cut waits for latency to be steady.
	maxUnsteady = 3
	// shedShare is the share of shed or failed samples that means congestion.
	shedShare = 0.1
)

// AIMD raises the limit by one for each window of full use and cuts it by a
// factor when latency shows queueing in the target.
//
// A cut that brings no relief means that the target is slow by itself and not
// for the number of its requests. Then the latency that was measured becomes
// the baseline and the limit grows again: a lower limit would only waste
// capacity.
type AIMD struct {
	slots    int
	limit    float64
	cold     bool
	baseline rankLatency
	window   sampleWindow
	// cutRatio is the latency ratio that caused the last cut, zero if the
	// last decision was no cut.
	cutRatio float64
	// limitBeforeCuts is the limit before the first of a row of cuts.
	limitBeforeCuts float64
	// lastRatio is the congested ratio of the window before, and unsteady the
	// number of congested windows that the first cut has waited for.
	lastRatio float64
	unsteady  int
	// settling skips the window in which requests from before a cut end.
	settling bool
}

// NewAIMD returns the limiter of a target that announced its slots.
func NewAIMD(slots int) *AIMD {
	return &AIMD{slots: slots, limit: coldLimit(slots), cold: true}
}

// Limit returns the number of requests that may run.
func (a *AIMD) Limit() int {
	return int(a.limit)
}

// Observe takes one sample and, at the end of a window, decides.
func (a *AIMD) Observe(now time.Time, s Sample) {
	if s.Result == Cancelled {
		return
	}
	a.window.add(now, s, &a.baseline)
	if a.cold && s.Result == Answered && s.Saturated {
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
	ratio := a.window.ratio()
	refused := a.window.refusedShare() > shedShare
	switch {
	case refused:
		a.decrease(0)
	case ratio < congestedRatio:
		a.increase()
	case a.cutRatio > 0 && latencyUnchanged(a.cutRatio, ratio):
		a.rebase(ratio)
	case a.cutRatio == 0 && !a.steady(ratio):
		// Requests from before the trouble are mixed in. A cut now could not
		// be told from the trouble itself.
	default:
		a.decrease(ratio)
	}
}

// latencyUnchanged reports whether latency stayed where it was although the limit was
// cut. A rise means that the trouble was still growing, which shows nothing.
func latencyUnchanged(before, after float64) bool {
	expectedFall := (before - 1) * (1 - decreaseFactor)
	fall := before - after
	return math.Abs(fall) < relievedShare*expectedFall
}

// steady reports whether latency is as it was in the window before. After
// maxUnsteady windows it is taken as it is.
func (a *AIMD) steady(ratio float64) bool {
	last := a.lastRatio
	a.lastRatio = ratio
	a.unsteady++
	return math.Abs(ratio-last) <= steadyShare*last || a.unsteady > maxUnsteady
}

func (a *AIMD) decrease(ratio float64) {
	a.lastRatio, a.unsteady = 0, 0
	if a.cutRatio == 0 {
		a.limitBeforeCuts = a.limit
	}
	a.limit = clampLimit(a.limit*decreaseFactor, a.slots)
	a.cold = false
	a.cutRatio = ratio
	a.settling = true
}

// rebase accepts the latency of the window as that of the target. Ranks that
// the window did not see are taken to have slowed as much as the others.
func (a *AIMD) rebase(ratio float64) {
	for rank := range a.baseline {
		if mean, ok := a.window.mean(rank); ok {
			a.baseline[rank] = mean
		} else {
			a.baseline[rank] *= ratio
		}
	}
	a.limit = a.limitBeforeCuts
	a.cutRatio = 0
	a.cold = true
}

func (a *AIMD) increase() {
	a.cutRatio = 0
	a.lastRatio, a.unsteady = 0, 0
	for rank := range a.baseline {
		// The baseline rises only after a cut without relief: a drift towards
		// the present latency would let the limit creep up under queueing.
		if mean, ok := a.window.mean(rank); ok {
			a.baseline[rank] = min(a.baseline[rank], mean)
		}
	}
	if a.window.saturated && !a.cold {
		a.limit = clampLimit(a.limit+math.Max(1, a.limit/16), a.slots)
	}
}

// sampleWindow sums up the samples between two decisions.
type sampleWindow struct {
	started   time.Time
	count     int
	refused   int
	saturated bool
	sums      [rankCount]float64
	counts    [rankCount]int
	ratios    float64
}

func (w *sampleWindow) add(now time.Time, s Sample, baseline *rankLatency) {
	if w.started.IsZero() {
		w.started = now
	}
	w.saturated = w.saturated || s.Saturated
	w.count++
	if s.Result == Shed || s.Result == Failed {
		w.refused++
		return
	}
	seconds := s.Latency.Seconds()
	if baseline[s.Rank] == 0 {
		baseline[s.Rank] = seconds
	}
	w.sums[s.Rank] += seconds
	w.counts[s.Rank]++
	w.ratios += seconds / max(baseline[s.Rank], float64(time.Microsecond)/float64(time.Second))
}

func (w *sampleWindow) complete(now time.Time) bool {
	return w.count >= aimdMinSamples && now.Sub(w.started) >= aimdWindow
}

func (w *sampleWindow) restart(now time.Time) {
	*w = sampleWindow{started: now}
}

// ratio returns the mean latency in baselines.
func (w *sampleWindow) ratio() float64 {
	if w.count == w.refused {
		return 1
	}
	return w.ratios / float64(w.count-w.refused)
}

func (w *sampleWindow) refusedShare() float64 {
	return float64(w.refused) / float64(max(w.count, 1))
}

func (w *sampleWindow) mean(rank int) (float64, bool) {
	if w.counts[rank] == 0 {
		return 0, false
	}
	return w.sums[rank] / float64(w.counts[rank]), true
}
