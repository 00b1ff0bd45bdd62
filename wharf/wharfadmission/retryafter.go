package wharfadmission

import "time"

const (
	// drainWeight is the weight of a new value in the moving average of the drain
	// rate, the number of requests that the target finishes per second.
	drainWeight = 0.3
	// drainWindow is the shortest time over which the drain rate is measured.
	drainWindow = 200 * time.Millisecond

	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// retryJitter is the largest jitter as a share of a retry-after hint.
	retryJitter = 0.5
)

// AddJitter lengthens a retry-after hint by a jitter that is proportional to random,
// a number from 0 to 1, so that callers don't all retry at the same time.
func AddJitter(hint time.Duration, random float64) time.Duration {
	return hint + time.Duration(random*retryJitter*float64(hint))
}

// RetryAfter returns a retry-after hint: the time until a slot is likely to be
// free, estimated from the drain rate and the rate limit.
func (g *Gate) RetryAfter() time.Duration {
	hint := minRetryAfter
	if g.drainRate > 0 {
		seconds := float64(g.queue.len()+1) / g.drainRate
		hint = time.Duration(seconds * float64(time.Second))
	}
	hint = min(max(hint, minRetryAfter, g.rate.wait(g.queue.len()+1)), maxRetryAfter)
	if g.cfg.Rand == nil {
		return hint
	}
	return AddJitter(hint, g.cfg.Rand.Float64())
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
