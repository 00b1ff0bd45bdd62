package wharfadmission

import "time"

const (
	// drainWeight smooths the drain rate.
	drainWeight = 0.3
	// drainWindow is the time over which the drain rate is counted.
	drainWindow = 200 * time.Millisecond

	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// retryJitter is the share by which advice is spread.
	retryJitter = 0.5
)

// AddJitter returns a later time to come back at by a random number from 0 to
// 1, so that callers don't come back together.
func AddJitter(advice time.Duration, random float64) time.Duration {
	return advice + time.Duration(random*retryJitter*float64(advice))
}

// RetryAfter advises a caller when a slot is likely, from the drain rate.
func (g *Gate) RetryAfter() time.Duration {
	advice := minRetryAfter
	if g.drainRate > 0 {
		seconds := float64(g.queue.len()+1) / g.drainRate
		advice = time.Duration(seconds * float64(time.Second))
	}
	advice = min(max(advice, minRetryAfter), maxRetryAfter)
	if g.cfg.Rand == nil {
		return advice
	}
	return AddJitter(advice, g.cfg.Rand.Float64())
}

func (g *Gate) measureDrain(now time.Time) {
	if g.drainStart.IsZero() {
		g.drainStart = now
		return
	}
	elapsed := now.Sub(g.drainStart)
	if elapsed < drainWindow {
		return
	}
	g.drainRate = smooth(g.drainRate, float64(g.drainCount)/elapsed.Seconds(), drainWeight)
	g.drainStart = now
	g.drainCount = 0
}
