package wharfadmission

import "time"

const (
	// serviceTimeWindow is the time over which service times are averaged before they count in
	// the moving average, with serviceTimeWeight if the window has enough of them.
	serviceTimeWindow = delayWindow
	serviceTimeWeight = 0.3
)

// serviceTimeEstimate is the moving average of the time that a request occupies its slot. It
// averages over windows, because a target may finish thousands of requests a second, and the last few
// of them don't tell its capacity. The zero serviceTimeEstimate knows no time.
type serviceTimeEstimate struct {
	// seconds is the estimate, zero before the first request.
	seconds     float64
	windowStart time.Time
	sum         float64
	count       int
	// known is true after the first window.
	known bool
}

// observe records how long a request occupied its slot.
func (e *serviceTimeEstimate) observe(now time.Time, elapsed time.Duration) {
	if e.windowStart.IsZero() {
		e.windowStart = now
	}
	e.sum += elapsed.Seconds()
	e.count++
	mean := e.sum / float64(e.count)
	if !e.known {
		e.seconds = mean
	}
	if now.Sub(e.windowStart) < serviceTimeWindow {
		return
	}
	e.seconds = smooth(e.seconds, mean, min(serviceTimeWeight, latencyWeight*float64(e.count)))
	e.windowStart, e.sum, e.count, e.known = now, 0, 0, true
}
