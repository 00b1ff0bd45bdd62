package wharfadmission

import "time"

const (
	// processorDelayThreshold is the mean wait for the processor above which a node can be
	// short of it. On its way through two nodes a call waits some ten times, and requests make
	// several calls one after another.
	processorDelayThreshold = 3 * time.Millisecond
	// minProcessorQueue is the mean number of requests that wait at the same time while a
	// node is short of processor time. At a low rate a few long waits, such as those for
	// the garbage collector, don't show that.
	minProcessorQueue = 1.0
	// freeProcessorDelay is the wait up to which a request has found the processor free.
	freeProcessorDelay = 100 * time.Microsecond
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
	// mean is the mean wait in the last window that has ended, and queue the mean number of
	// requests that waited at the same time.
	mean  time.Duration
	queue float64
	// free is true if a request in this window has found the processor free, and wasFree if one
	// in the last window has.
	free, wasFree bool
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
	d.free = d.free || wait <= freeProcessorDelay
	if now.Sub(d.windowStart) < processorDelayWindow {
		return false
	}
	d.mean = d.sum / time.Duration(d.count)
	d.queue = d.sum.Seconds() / now.Sub(d.windowStart).Seconds()
	d.windowStart, d.sum, d.count = now, 0, 0
	d.free, d.wasFree = false, d.free
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

// Short reports whether the node is short of processor time: requests wait, and none has found the
// processor free. Requests that arrive in a burst wait, too, but the processor then has time to spare.
func (d *ProcessorDelay) Short(now time.Time) bool {
	return d.Mean(now) > processorDelayThreshold && d.queue > minProcessorQueue && !d.wasFree
}
