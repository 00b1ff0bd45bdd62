package wharfadmission

import "time"

const (
	// standingDelay is the least wait in a window that means a standing queue.
	standingDelay = 20 * time.Millisecond
	// minEvaluationWindow is the least time between two decisions on queue and level;
	// it grows with the time that a request holds its slot, up to a second.
	minEvaluationWindow = 200 * time.Millisecond
	maxEvaluationWindow = time.Second
	// maxIdleWindows bounds the windows that are made up for after a quiet time.
	maxIdleWindows = 16
)

// advanceWindows ends the windows in which the queue is judged. Windows without any
// event were calm.
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

// evaluateWindow decides whether the queue stands and moves the level.
func (g *Gate) evaluateWindow() {
	if !g.waitSeen && g.queue.len() > 0 {
		// Nothing left the queue in the window: everything waited longer.
		g.shortestWait = g.window()
	}
	g.standing = g.shortestWait > standingDelay
	if g.cfg.Levels {
		g.level.Update(g.standing || g.refusedFull, g.capacity())
	}
	g.shortestWait = 0
	g.waitSeen = false
	g.refusedFull = false
}

// window returns the time between two decisions on queue and level.
func (g *Gate) window() time.Duration {
	hold := time.Duration(g.hold * float64(time.Second))
	return min(max(hold, minEvaluationWindow), maxEvaluationWindow)
}

// capacity returns how many requests the target can finish in a window. It
// follows from the limit and not from what was finished, which is less while
// too little is admitted.
func (g *Gate) capacity() float64 {
	if g.hold == 0 {
		return float64(g.cfg.Limiter.Limit())
	}
	return float64(g.cfg.Limiter.Limit()) / g.hold * g.window().Seconds()
}
