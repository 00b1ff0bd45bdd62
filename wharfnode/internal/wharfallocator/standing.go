package wharfallocator

import (
	"time"

	"ragwortwharf.dev/wharf/wharfquota"
	"ragwortwharf.dev/wharf/wharfroute"
)

// Standing returns what this node knows of the quota of an account, and which node allocates it. It
// takes no token and asks no other node.
func (s *Service) Standing(a *wharfroute.Account) wharfquota.Standing {
	now := s.clock.Now()
	if s.Leases == nil {
		return s.shares.standing(now, a)
	}
	out := s.client.Standing(now, a.Name)
	if h, ok := s.directory.holder(wharfquota.ShardOf(a.Name, s.Shards)); ok {
		out.Allocator = h.node
	} else if out.Verdict == wharfquota.Pending {
		out.RetryAfter = unavailableRetryAfter
	}
	if out.Allocator == s.View.Node() {
		out.Left, out.LeftKnown = s.allocator.Left(now, a.Name)
	}
	return out
}

// standing returns what the share of this node would grant. The bucket stays as it is.
func (s *shares) standing(now time.Time, a *wharfroute.Account) wharfquota.Standing {
	q := s.share(a.Quota)
	bucket := wharfquota.NewBucket(q, q.Burst, now)
	shard := &s.shards[wharfquota.ShardOf(a.Name, len(s.shards))]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if b, ok := shard.buckets[a.Name]; ok {
		bucket = *b
		bucket.SetQuota(now, q)
	}
	return bucket.Standing(now)
}
