package wharfadmission

import "time"

const (
	// standingDelay defines a standing queue, as in CoDel: even the shortest wait
	// in a window is longer than standingDelay.
	standingDelay = 20 * time.Millisecond
	// minEvaluationWindow is the shortest time between two evaluations of queue
	// and level. The window grows with the service time, up to
	// maxEvaluationWindow.
	minEvaluationWindow = 200 * time.Millisecond
	maxEvaluationWindow = time.Second
	// maxIdleWindows bounds the number of windows that are evaluated after a time
	// without events.
	maxIdleWindows = 16
)

// advanceWindows evaluates the windows that have ended. The windows after the first
// had no events; they count as uncongested unless requests are waiting.
func (g *Gate) advanceWindows(now time.Time) {
	if g.windowStart.IsZero() {
		g.windowStart = now
	}
	windows := int(now.Sub(g.windowStart) / g.window())
	if windows == 0 {
		return
	}
	g.evaluateWindow()
	for range min(windows-1, maxIdleWindows) {
		g.evaluateWindow()
	}
	g.windowStart = now
}

// evaluateWindow decides whether there is a standing queue, adjusts the level and
// begins a new window.
func (g *Gate) evaluateWindow() {
	if !g.waitRecorded && g.queue.len() > 0 {
		// No request left the queue in the window, so the shortest wait counts as a
		// whole window.
		g.shortestWait = g.window()
	}
	g.standingQueue = g.shortestWait > standingDelay
	if g.cfg.Levels {
		g.level.Update(g.standingQueue || g.queueOverflowed, g.capacity())
	}
	g.shortestWait = 0
	g.waitRecorded = false
	g.queueOverflowed = false
}

// window returns the time between two evaluations of queue and level.
func (g *Gate) window() time.Duration {
	serviceTime := time.Duration(g.serviceTime.seconds * float64(time.Second))
	return min(max(serviceTime, minEvaluationWindow), maxEvaluationWindow)
}

// capacity returns how many requests the target can finish in a window. It is
// computed from the limit and not from the number of finished requests, which is
// lower while too few requests are admitted.
func (g *Gate) capacity() float64 {
	if g.serviceTime.seconds == 0 {
		return float64(g.cfg.Limiter.Limit())
	}
	return float64(g.cfg.Limiter.Limit()) / g.serviceTime.seconds * g.window().Seconds()
}
