package wharfquota

import (
	"math"
	"time"
)

const (
	// useTime is the time constant of the mean use of an account by a node. Many nodes have a
	// request of an account every few seconds only; with a shorter time, each of these requests
	// would count as a high rate.
	useTime = 20 * time.Second
	// minUseTime is the least time over which the mean of a new allocator is taken.
	minUseTime = 5 * time.Second
	// minAllowanceLevel is how full the bucket of an account must be for allowances, and
	// maxAllowanceUse the share of its quota that it may use. An account that uses its whole quota
	// gets none: the nodes that reach the allocator use the same tokens until it notices the silence
	// of the others.
	minAllowanceLevel = 0.5
	maxAllowanceUse   = 0.8
	// maxSilence is how long after its last request a node may have reached no allocator for. It
	// covers two requests that are lost. Within it, an account may exceed its quota by the
	// allowances of the silent nodes.
	maxSilence = 1250 * time.Millisecond
	// quietTime is how long after its last request a node may be silent.
	quietTime = 600 * time.Millisecond
	// assumedAllowances is the sum of the allowances of an account, as a share of its quota, that an
	// allocator assumes which knows nothing of the one before. Because its buckets are empty, the
	// account stays within the bound even if twice as much is used.
	assumedAllowances = 1. / 3
	// maxReserve bounds the allowance of a node in its uses. Requests arrive at random, so that an
	// allowance of the mean use refuses many of them.
	maxReserve = 1.5
)

// meanUse is a mean number of tokens a second.
type meanUse struct {
	perSecond float64
	at        time.Time
}

// add counts tokens.
func (u meanUse) add(now time.Time, tokens int) meanUse {
	decay := math.Exp(-max(now.Sub(u.at), 0).Seconds() / useTime.Seconds())
	return meanUse{u.perSecond*decay + float64(max(tokens, 0))/useTime.Seconds(), now}
}

// rate returns the mean since a time before which nothing was counted.
func (u meanUse) rate(now, since time.Time) float64 {
	seen := max(now.Sub(since), minUseTime)
	return u.perSecond / (1 - math.Exp(-seen.Seconds()/useTime.Seconds()))
}

// nodeUse is the use of an account by a node, with the allowance that the node has.
type nodeUse struct {
	use meanUse
	// allowance is the one of the last response, and before that of the one before. The node has
	// either of them, because the last response may be lost.
	allowance, before float64
	// until is when the allowance ends, and chargedTo until when the bucket was charged for it.
	until, chargedTo time.Time
	// charged is what the bucket was charged for, and the node hasn't said yet that it has sent.
	charged float64
	// unallocated is the number of requests within the allowance that the node has last reported.
	unallocated int
	// gaveUp is true if the node has given up its allowance of an earlier allocator.
	gaveUp bool
}

// most returns the highest allowance that the node may have.
func (u nodeUse) most() float64 {
	return max(u.allowance, u.before)
}

// allow counts tokens that a node got, and returns its allowance until a time.
func (c *account) allow(now time.Time, node string, tokens int, spare bool, until time.Time) Allowance {
	if c.usedSince.IsZero() {
		c.usedSince = now
	}
	c.use = c.use.add(now, tokens)
	u := c.uses[node]
	u.use, u.before, u.allowance = u.use.add(now, tokens), u.allowance, 0
	u.until, u.chargedTo, u.charged = until, now, 0
	quota, all := c.bucket.quota.PerSecond, c.use.rate(now, c.usedSince)
	if spare && all <= maxAllowanceUse*quota {
		reserve := min(max(quota/max(all, rounding), 1), maxReserve)
		u.allowance = u.use.rate(now, c.usedSince) * reserve
	}
	c.setUse(node, u)
	return Allowance{PerSecond: u.allowance, For: until.Sub(now)}
}

func (c *account) setUse(node string, u nodeUse) {
	if c.uses == nil {
		c.uses = map[string]nodeUse{}
	}
	c.uses[node] = u
}

// charge takes what a quiet node may have sent within its allowance from the bucket.
func (c *account) charge(now time.Time, q quietNode) {
	u, ok := c.uses[q.node]
	if !ok || u.most() <= 0 {
		return
	}
	from, to := later(u.chargedTo, q.since.Add(-allowanceBurstTime)), earlier(now, u.until)
	if to.After(from) {
		sum := u.most() * to.Sub(from).Seconds()
		c.bucket.Charge(sum)
		u.chargedTo, u.charged = to, u.charged+sum
		c.setUse(q.node, u)
	}
}

// release returns the level of the bucket, without what quiet nodes may have sent within their
// allowances so far, and the sum of all allowances.
func (c *account) release(now time.Time, name string, quiet []quietNode) Level {
	c.chargeUnknown(now)
	for _, q := range quiet {
		c.charge(now, q)
	}
	l := Level{Account: name, Tokens: c.bucket.Level(now)}
	for _, u := range c.uses {
		if u.most() > 0 && now.Before(u.until) {
			l.Allowance.PerSecond += u.most()
			l.Allowance.For = max(l.Allowance.For, u.until.Sub(now))
		}
	}
	if c.unknown > 0 && now.Before(c.unknownUntil) {
		l.Allowance.PerSecond += c.unknown
		l.Allowance.For = max(l.Allowance.For, c.unknownUntil.Sub(now))
	}
	return l
}

// assume records that nodes may have allowances of earlier allocators from a time on, until they give
// them up.
func (c *account) assume(from time.Time, sum Allowance) {
	c.unknown, c.unknownFrom, c.unknownUntil = sum.PerSecond, from, from.Add(sum.For)
}

// assumeSince does the same for allowances that were valid from a time in the past on. What was used
// of them until now doesn't bring the bucket below zero.
func (c *account) assumeSince(now, from time.Time, sum Allowance) {
	until := from.Add(sum.For)
	used := sum.PerSecond * max(earlier(now, until).Sub(from), 0).Seconds()
	c.bucket.Charge(min(used, c.bucket.Level(now)))
	sum.For = until.Sub(now)
	c.assume(now, sum)
}

// chargeUnknown takes what nodes may have sent within the allowances of earlier allocators from the
// bucket.
func (c *account) chargeUnknown(now time.Time) {
	if to := earlier(now, c.unknownUntil); c.unknown > 0 && to.After(c.unknownFrom) {
		c.bucket.Charge(c.unknown * to.Sub(c.unknownFrom).Seconds())
		c.unknownFrom = to
	}
}

// report applies what a node says of its allowance: that it gives up one of an earlier allocator, and
// how many requests it has sent within that of this one.
func (c *account) report(node string, d Demand) {
	u := c.uses[node]
	if d.GivenUp > 0 && !u.gaveUp {
		c.unknown, u.gaveUp = max(c.unknown-d.GivenUp, 0), true
	}
	sent := d.Unallocated - u.unallocated
	if sent < 0 {
		sent = d.Unallocated
	}
	u.unallocated = d.Unallocated
	if excess := float64(sent) - u.charged; excess > 0 {
		c.bucket.Charge(excess)
	}
	u.charged = max(u.charged-float64(sent), 0)
	c.setUse(node, u)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Charge takes what silent nodes may have sent within their allowances from the buckets, so that
// other nodes don't get the same tokens. It is called several times within maxSilence.
func (a *Allocator) Charge(now time.Time) {
	a.charge(now, a.contacts.quiet(now, maxSilence))
}

func (a *Allocator) charge(now time.Time, nodes []quietNode) {
	if len(nodes) == 0 {
		return
	}
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		if s.lease.allocates(now, a.Terms.TTL) {
			for _, c := range s.accounts {
				for _, q := range nodes {
					c.charge(now, q)
				}
			}
		}
		s.mu.Unlock()
	}
}
