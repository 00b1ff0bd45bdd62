package wharfquota

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortwharf.dev/wharf/wharfroute"
)

const (
	// TokenTTL is how long after its request was sent a token is valid. It covers a slow response
	// and the time in which a node uses what it has requested ahead.
	TokenTTL = 400 * time.Millisecond
	// DefaultTTL is the default of Terms.TTL, 0.7 of the time within which withdrawn keys must be
	// out of use.
	DefaultTTL = 3500 * time.Millisecond
	// DefaultShards is the default number of shards, enough for the allocators of 768 nodes.
	DefaultShards = 24
	// clockMargin covers the difference between the rates of two clocks during Terms.TTL.
	clockMargin   = 50 * time.Millisecond
	defaultWindow = 5 * time.Second
)

// Terms are the times and limits that allocators keep. The zero Terms allow nothing beyond the
// quotas.
type Terms struct {
	// TTL is how long after a successful join was sent its lease is valid. Zero means DefaultTTL.
	TTL time.Duration
	// In each Window, an account may have (rate x window + burst) x (1 + Excess) + Slack requests.
	// Zero means a window of 5 s.
	Window        time.Duration
	Excess, Slack float64
}

// WithDefaults returns the terms with defaults for times that are zero.
func (t Terms) WithDefaults() Terms {
	if t.TTL <= 0 {
		t.TTL = DefaultTTL
	}
	if t.Window <= 0 {
		t.Window = defaultWindow
	}
	return t
}

// reserve returns the requests in each window that an allocator may grant without knowing the
// level of the bucket: half of what is allowed beyond the quota and the valid tokens, because two
// holders may grant it after each other.
func (t Terms) reserve(q wharfroute.Quota) float64 {
	allowed := t.Excess*(q.PerSecond*t.Window.Seconds()+q.Burst) + t.Slack - q.PerSecond*TokenTTL.Seconds()
	return max(allowed/2, 0)
}

// reserveShare is the part of a reserve that may be granted at once. The rest accrues over the
// window, so that holders that follow each other quickly don't grant it several times.
const reserveShare = 0.25

// reserveQuota returns the quota of a bucket that grants at most the reserve in each window.
func (t Terms) reserveQuota(q wharfroute.Quota) wharfroute.Quota {
	reserve := t.reserve(q)
	return wharfroute.Quota{PerSecond: reserve * (1 - reserveShare) / t.Window.Seconds(), Burst: reserve * reserveShare}
}

// ShardOf returns the shard of an account.
func ShardOf(account string, shards int) int {
	return int(xxhash.Sum64String(account) % uint64(max(shards, 1)))
}
