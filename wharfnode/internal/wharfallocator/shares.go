package wharfallocator

import (
	"sync"
	"sync/atomic"
	"time"

	"ragwortwharf.dev/wharf/wharfquota"
	"ragwortwharf.dev/wharf/wharfroute"
)

// shares gives each node an equal part of each quota, without leases.
type shares struct {
	service *Service

	shards [wharfquota.DefaultShards]shareShard
	// nodes is the number of known nodes at a version of the view.
	nodes atomic.Pointer[knownNodes]
}

type knownNodes struct {
	version uint64
	count   int
}

type shareShard struct {
	mu      sync.Mutex
	buckets map[string]*wharfquota.Bucket
}

// share returns the part of a quota that this node has.
func (s *shares) share(q wharfroute.Quota) wharfroute.Quota {
	v := s.service.View
	known := s.nodes.Load()
	if version := v.Version(); known == nil || known.version != version {
		known = &knownNodes{version, max(v.KnownNodes(), 1)}
		s.nodes.Store(known)
	}
	n := float64(known.count)
	return wharfroute.Quota{PerSecond: q.PerSecond / n, Burst: q.Burst / n}
}

// use calls change with the bucket of an account.
func (s *shares) use(now time.Time, a *wharfroute.Account, change func(b *wharfquota.Bucket)) {
	q := s.share(a.Quota)
	shard := &s.shards[wharfquota.ShardOf(a.Name, len(s.shards))]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	b, ok := shard.buckets[a.Name]
	if !ok {
		if shard.buckets == nil {
			shard.buckets = map[string]*wharfquota.Bucket{}
		}
		created := wharfquota.NewBucket(q, q.Burst, now)
		b = &created
		shard.buckets[a.Name] = b
	}
	b.SetQuota(now, q)
	change(b)
}

func (s *shares) take(now time.Time, a *wharfroute.Account) wharfquota.Result {
	var r wharfquota.Result
	s.use(now, a, func(b *wharfquota.Bucket) {
		if b.Take(now, 1) > 0 {
			r = wharfquota.Result{Verdict: wharfquota.Granted, Token: wharfquota.NewToken(now)}
			return
		}
		r = wharfquota.Result{Verdict: wharfquota.Refused, RetryAfter: b.Wait(now)}
	})
	return r
}

func (s *shares) give(now time.Time, a *wharfroute.Account, t wharfquota.Token) {
	if t.Valid(now) {
		s.use(now, a, func(b *wharfquota.Bucket) { b.Give(now, 1) })
	}
}
