package wharfadmission

import "time"

const (
	// processorDelayThreshold is the mean wait for the processor above which a node is
	// short of it. A request waits some ten times on its way through two nodes, and most
	// requests make several calls one after another.
	processorDelayThreshold = 10 * time.Millisecond
	// processorDelayWindow is the time over which the wait is averaged.
	processorDelayWindow = delayWindow
	// maxProcessorPause is the time between two waits after which the first of them says
	// nothing about the load: there were no requests, or the process was paused.
	maxProcessorPause = time.Second
)

// ProcessorDelay measures how long the requests of a node wait for its processor. A
// ProcessorDelay isn't safe for concurrent use. The zero ProcessorDelay has measured
// nothing.
type ProcessorDelay struct {
	windowStart, last time.Time
	sum               time.Duration
	count             int
	// mean is the mean wait in the last window that has ended.
	mean time.Duration
}

// Observe records how long a request has waited for the processor. It reports whether a
// window has ended.
func (d *ProcessorDelay) Observe(now time.Time, wait time.Duration) bool {
	if now.Sub(d.last) > maxProcessorPause {
		*d = ProcessorDelay{windowStart: now, last: now}
		return false
	}
	d.last = now
	d.sum += wait
	d.count++
	if now.Sub(d.windowStart) < processorDelayWindow {
		return false
	}
	d.mean = d.sum / time.Duration(d.count)
	d.windowStart, d.sum, d.count = now, 0, 0
	return true
}

// Mean returns the mean wait in the last window. It is zero if there were no requests for
// a while.
func (d *ProcessorDelay) Mean(now time.Time) time.Duration {
	if now.Sub(d.last) > maxProcessorPause {
		return 0
	}
	return d.mean
}

// Short reports whether the node is short of processor time.
func (d *ProcessorDelay) Short(now time.Time) bool {
	return d.Mean(now) > processorDelayThreshold
}
