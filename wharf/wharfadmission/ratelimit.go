package wharfadmission

import "time"

const (
	// minRate is the least rate at which a target gets requests, per second. Only a
	// response can show that the target takes more again.
	minRate = 0.5
	// rateBurst is the time for which unused requests of a rate limit can be made up for.
	rateBurst = 250 * time.Millisecond
	// rateLinger is how long a limit holds after the last response that named it. A
	// response that the target began before it named the limit may arrive later.
	rateLinger = time.Second
	// rateQueueTime is how long a request waits for a rate limit at most, if the gate has
	// no MaxWait.
	rateQueueTime = 300 * time.Millisecond
	// minRateWait is the least time between two attempts to start requests that wait for
	// a rate limit.
	minRateWait = 10 * time.Millisecond
)

// rateLimit is a token bucket that holds the requests a second which a target has named.
// The zero rateLimit limits nothing.
type rateLimit struct {
	// perSecond is zero if there is no limit.
	perSecond float64
	tokens    float64
	filledAt  time.Time
	// namedAt is the time of the last response that named the limit.
	namedAt time.Time
}

func (r *rateLimit) limited() bool {
	return r.perSecond > 0
}

// set applies a limit that the target has named. A new limit begins without tokens.
func (r *rateLimit) set(now time.Time, perSecond float64) {
	r.refill(now)
	r.perSecond, r.namedAt = max(perSecond, minRate), now
	r.tokens = min(r.tokens, r.capacity())
}

// lift ends the limit, unless a response has named it within rateLinger.
func (r *rateLimit) lift(now time.Time) {
	if now.Sub(r.namedAt) >= rateLinger {
		*r = rateLimit{}
	}
}

func (r *rateLimit) capacity() float64 {
	return max(r.perSecond*rateBurst.Seconds(), 1)
}

func (r *rateLimit) refill(now time.Time) {
	if r.limited() {
		r.tokens = min(r.tokens+now.Sub(r.filledAt).Seconds()*r.perSecond, r.capacity())
	}
	r.filledAt = now
}

// allows reports whether a request may start now.
func (r *rateLimit) allows(now time.Time) bool {
	r.refill(now)
	return !r.limited() || r.tokens >= 1
}

// take counts a request that starts.
func (r *rateLimit) take() {
	if r.limited() {
		r.tokens--
	}
}

// wait returns how long it takes until a number of requests may have started, zero if
// there is no limit.
func (r *rateLimit) wait(requests int) time.Duration {
	if !r.limited() {
		return 0
	}
	seconds := (float64(requests) - r.tokens) / r.perSecond
	return max(time.Duration(seconds*float64(time.Second)), 0)
}

// SetRate limits the requests that start in a second, because the target has named this
// limit in a response. It reports whether there was no limit before.
func (g *Gate) SetRate(now time.Time, perSecond float64) bool {
	before := g.rate.limited()
	g.rate.set(now, perSecond)
	return !before
}

// LiftRate ends the limit of SetRate after a response that names none. It reports whether
// it did, and returns the requests that then start.
func (g *Gate) LiftRate(now time.Time) (Effects, bool) {
	if !g.rate.limited() {
		return Effects{}, false
	}
	g.rate.lift(now)
	return g.Refill(now), !g.rate.limited()
}

// Refill starts the waiting requests that a rate limit allows by now. The node calls it
// after the time that RateWait returns.
func (g *Gate) Refill(now time.Time) Effects {
	var fx Effects
	g.fill(now, &fx)
	g.shed(&fx)
	return fx
}

// Limited reports whether the target limits the rate of its requests.
func (g *Gate) Limited() bool {
	return g.rate.limited()
}

// RateWait returns the time after which the node should call Refill, zero if there is no
// rate limit or no request waits.
func (g *Gate) RateWait() time.Duration {
	if g.queue.len() == 0 || !g.rate.limited() {
		return 0
	}
	return max(g.rate.wait(1), minRateWait)
}

// effectiveLimit returns how many requests run at once, if a rate limit allows fewer than
// the limiter.
func (g *Gate) effectiveLimit() int {
	limit := g.cfg.Limiter.Limit()
	if g.rate.limited() && g.serviceTime.seconds > 0 {
		limit = min(limit, max(int(g.rate.perSecond*g.serviceTime.seconds), 1))
	}
	return limit
}

// rateQueue returns how many requests may wait for the rate limit.
func (g *Gate) rateQueue() int {
	wait := g.cfg.MaxWait
	if wait == 0 {
		wait = rateQueueTime
	}
	return max(int(g.rate.perSecond*wait.Seconds()), 1)
}
