package wharfquota

import (
	"slices"
	"time"

	"ragwortwharf.dev/wharf/wharfroute"
)

// maxReleaseTime bounds the time from the request for a release until it is accepted. Any other
// node that could begin meanwhile begins later than that.
const maxReleaseTime = time.Second

// Level is the number of tokens left of an account. It is negative if silent nodes may have used
// more than were left.
type Level struct {
	Account string
	Tokens  float64
	// Allowance is the sum of the allowances of all nodes.
	Allowance Allowance
}

// Released is a shard whose authority a node has given to another.
type Released struct {
	Shard  int
	Levels []Level
	// Filling is how long the buckets of accounts without a level have been filling, and Assumed how
	// long yet nodes may have allowances of earlier allocators for these accounts.
	Filling, Assumed time.Duration
}

// Ended is a shard whose allocator has ended without a release. If Lapsed is true, its lease has
// lapsed, and Levels has the allowances that nodes may have.
type Ended struct {
	Shard  int
	Lapsed bool
	Levels []Level
}

// Release gives the authority over shards to another node that holds them in a generation, as far as
// this node has it and doesn't hold them in a later one. This node grants no tokens of them from now
// on.
func (a *Allocator) Release(now time.Time, generation uint64, shards []int) []Released {
	var released []Released
	quiet := a.contacts.quiet(now, quietTime)
	for _, i := range shards {
		s := a.shard(i)
		if s == nil {
			continue
		}
		s.mu.Lock()
		if s.lease.release(now, generation, a.Terms.TTL) {
			r := Released{Shard: i, Filling: now.Sub(s.emptyAt)}
			if s.assumed > 0 {
				r.Assumed = max(s.assumedFor-r.Filling, 0)
			}
			for name, c := range s.accounts {
				if c.known {
					r.Levels = append(r.Levels, c.release(now, name, quiet))
				}
			}
			released = append(released, r)
		}
		s.mu.Unlock()
	}
	return released
}

// renounce states that this node doesn't allocate a shard that it hasn't released. The response to a
// join that is under way doesn't change that.
func (a *Allocator) renounce(now time.Time, shard int) {
	s := a.shard(shard)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease.renounce(now)
}

// Generation returns the generation in which this node holds a shard.
func (a *Allocator) Generation(shard int) uint64 {
	s := a.shard(shard)
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease.listedIn
}

// HandOver responds to another node that holds shards in a generation and asks whether this node
// allocates them, or an earlier process of it. It releases those that this node allocates, and
// returns the ones whose allocator has ended: its lease has lapsed, or it was the earlier process.
func (a *Allocator) HandOver(now time.Time, generation uint64, restarted bool, shards []int) ([]Released, []Ended) {
	released, ended := a.Release(now, generation, shards), a.Forfeit(now, shards)
	if restarted {
		ended = nil
		allocated := a.Status(now).Allocated
		for _, shard := range shards {
			if !slices.Contains(allocated, shard) {
				ended = append(ended, Ended{Shard: shard})
			}
		}
	}
	for _, e := range ended {
		a.renounce(now, e.Shard)
	}
	return released, ended
}

// Forfeit returns those of some shards that this node was the allocator of until its lease lapsed.
// It isn't the last allocator any more for itself nor others.
func (a *Allocator) Forfeit(now time.Time, shards []int) []Ended {
	var lapsed []Ended
	for _, i := range shards {
		s := a.shard(i)
		if s == nil {
			continue
		}
		s.mu.Lock()
		if s.lease.forfeit(now, a.Terms.TTL) {
			e := Ended{Shard: i, Lapsed: true}
			for name, c := range s.accounts {
				if l := c.release(now, name, nil); l.Allowance.PerSecond > 0 {
					e.Levels = append(e.Levels, l)
				}
			}
			lapsed = append(lapsed, e)
		}
		s.mu.Unlock()
	}
	return lapsed
}

// Accept takes the authority over a shard that this node has requested from another one at a time.
// It reports whether this node allocates the shard.
func (a *Allocator) Accept(now, requested time.Time, r Released, quota func(account string) wharfroute.Quota) bool {
	s := a.shard(r.Shard)
	if s == nil || now.Sub(requested) >= maxReleaseTime {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lease.accept(now, a.Terms.TTL) {
		return false
	}
	s.begin(now.Add(-max(r.Filling, 0)))
	if r.Assumed > 0 {
		s.assumed, s.assumedFor = assumedAllowances, r.Filling+r.Assumed
	}
	for _, l := range r.Levels {
		c := s.account(l.Account)
		c.bucket, c.known = NewBucket(quota(l.Account), l.Tokens, now), true
		c.assume(now, l.Allowance)
	}
	return true
}

// BeginEmpty makes this node the allocator of a shard that it has waited for, with empty buckets,
// because the node that was the allocator is known to have ended.
func (a *Allocator) BeginEmpty(now time.Time, shard int, p *Predecessors) bool {
	s := a.shard(shard)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lease.accept(now, a.Terms.TTL) {
		return false
	}
	s.begin(now)
	if allowances, known := p.allowances(now); known {
		for name, sum := range allowances {
			s.account(name).assume(now, sum)
		}
	} else {
		s.assumed, s.assumedFor = assumedAllowances, 2*a.Terms.TTL
	}
	return true
}
