package wharfquota

import (
	"math"
	"time"

	"ragwortwharf.dev/wharf/wharfroute"
)

// rounding covers the errors of sums of fractions, so that a token that is due isn't late.
const rounding = 1e-9

// Bucket is a token bucket for the quota of an account.
type Bucket struct {
	quota wharfroute.Quota
	level float64
	at    time.Time
}

// NewBucket returns a bucket with a number of tokens, at most the burst. It may be negative, as after
// Charge.
func NewBucket(q wharfroute.Quota, level float64, now time.Time) Bucket {
	return Bucket{quota: q, level: min(max(level, -maxDebt*q.PerSecond), capacity(q)), at: now}
}

// capacity returns the most tokens that a bucket holds. Without room for one, it could never
// grant any.
func capacity(q wharfroute.Quota) float64 {
	return max(q.Burst, 1)
}

// refill adds the tokens since the last call. A time before that adds none.
func (b *Bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level = min(b.level+elapsed.Seconds()*b.quota.PerSecond, capacity(b.quota))
		b.at = now
	}
}

// Take takes up to n whole tokens and returns how many it took.
func (b *Bucket) Take(now time.Time, n int) int {
	b.refill(now)
	taken := min(float64(max(n, 0)), math.Floor(b.level+rounding))
	if taken <= 0 {
		return 0
	}
	b.level -= taken
	return int(taken)
}

// maxDebt bounds what a bucket is short of, in seconds of its rate.
const maxDebt = 5

// Charge takes n tokens also if fewer are left. The bucket then grants none until they are made up
// for. What was filled since the last call counts against it, also beyond the burst.
func (b *Bucket) Charge(n float64) {
	b.level = max(b.level-n, -maxDebt*b.quota.PerSecond)
}

// Give puts n tokens back.
func (b *Bucket) Give(now time.Time, n int) {
	b.refill(now)
	b.level = min(b.level+float64(n), capacity(b.quota))
}

// Wait returns the time until there is a token.
func (b *Bucket) Wait(now time.Time) time.Duration {
	b.refill(now)
	missing := 1 - rounding - b.level
	if missing <= 0 {
		return 0
	}
	if b.quota.PerSecond <= 0 {
		return maxWait
	}
	return min(time.Duration(math.Ceil(missing/b.quota.PerSecond*float64(time.Second))), maxWait)
}

// maxWait bounds the time until the next token, for quotas of almost nothing.
const maxWait = time.Minute

// SetQuota changes the quota from now on. The level is cut to the new burst.
func (b *Bucket) SetQuota(now time.Time, q wharfroute.Quota) {
	if b.quota == q {
		return
	}
	b.refill(now)
	b.quota = q
	b.level = min(b.level, capacity(q))
}

// Level returns the number of tokens left.
func (b *Bucket) Level(now time.Time) float64 {
	b.refill(now)
	return b.level
}
