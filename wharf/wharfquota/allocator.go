package wharfquota

import (
	"maps"
	"slices"
	"sync"
	"time"

	"ragwortwharf.dev/wharf/wharfroute"
)

const (
	// maxHold bounds the time until a refused node asks again, so that tokens that others don't
	// use aren't lost: a quarter of the usual burst, one second of the rate.
	maxHold = 250 * time.Millisecond
	// minHold bounds the messages about one account that exceeds its quota.
	minHold = 20 * time.Millisecond
	// uncertainHold is the same for a shard whose levels aren't known yet.
	uncertainHold = 100 * time.Millisecond
	// sequenceTTL is how long the last sequence number of a node counts. No message is under way
	// for as long, and a node whose clock went back can make requests again after it.
	sequenceTTL = 10 * time.Second
)

// Demand asks an allocator for tokens of an account.
type Demand struct {
	Account string
	Tokens  int
	// Returned is the number of valid tokens that the node gives back.
	Returned int
	// GivenUp is the allowance of another allocator, in requests a second, that the node doesn't use
	// any more once it has the response.
	GivenUp float64
	// Unallocated is the number of requests that the node has sent within allowances of this
	// allocator so far.
	Unallocated int
}

// Grant is the response to a Demand.
type Grant struct {
	Tokens int
	// RetryAfter is the time until the next token if there are fewer than wanted.
	RetryAfter time.Duration
	// NotAllocator is true if the node doesn't allocate the account, and Uncertain if it doesn't
	// know yet how much of the quota is left.
	NotAllocator, Uncertain bool
	// Allowance replaces that of an earlier Grant, unless NotAllocator or Uncertain is true.
	Allowance Allowance
}

// Allocator holds the shards of one node. Its exported fields don't change after the first use.
// It is safe for concurrent use.
type Allocator struct {
	Terms Terms

	shards   []shard
	contacts contacts
}

// shard is the state of a shard at one node.
type shard struct {
	mu    sync.Mutex
	lease lease
	// emptyAt is when the buckets were empty of which no level is known.
	emptyAt time.Time
	// assumed is the share of the quota of such an account for which nodes may have allowances of an
	// earlier allocator, for the time assumedFor.
	assumed    float64
	assumedFor time.Duration

	accounts  map[string]*account
	sequences map[string]sequence
	pruneAt   time.Time
}

// account is the state of an account at its allocator.
type account struct {
	bucket Bucket
	// reserve is what may be granted while the level of the bucket isn't known. It is kept when the
	// shard is lost and gained, so that it isn't granted twice.
	reserve Bucket
	known   bool
	// grants are those whose tokens may be valid.
	grants []grant
	// refusals counts the refused requests of a period, and refusalsAt is its start.
	refusals   float64
	refusalsAt time.Time
	// uses holds the mean use of each node since usedSince, and use that of all nodes.
	uses      map[string]nodeUse
	use       meanUse
	usedSince time.Time
	// unknown is the sum of the allowances of earlier allocators that nodes may have until
	// unknownUntil. The bucket was charged for them until unknownFrom.
	unknown                   float64
	unknownFrom, unknownUntil time.Time
}

// grant is a number of tokens that a node got.
type grant struct {
	node   string
	at     time.Time
	tokens int
}

type sequence struct {
	number uint64
	at     time.Time
}

// NewAllocator returns an allocator that holds nothing yet of a number of shards.
func NewAllocator(terms Terms, shards int) *Allocator {
	return &Allocator{Terms: terms.WithDefaults(), shards: make([]shard, max(shards, 1))}
}

// shard returns the state of a shard, nil for a number that is none.
func (a *Allocator) shard(i int) *shard {
	if i < 0 || i >= len(a.shards) {
		return nil
	}
	return &a.shards[i]
}

// shardOf returns the state of the shard of an account.
func (a *Allocator) shardOf(account string) *shard {
	return &a.shards[ShardOf(account, len(a.shards))]
}

// Joined applies a join of the lease group. It returns the shards that this node begins to
// allocate with empty buckets.
func (a *Allocator) Joined(j Join) []int {
	var began []int
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		if s.lease.join(j, i, a.Terms.TTL) {
			s.begin(j.Received)
			if slices.Contains(j.Earlier, i) {
				s.assumed, s.assumedFor = assumedAllowances, 2*a.Terms.TTL
			}
			began = append(began, i)
		}
		s.mu.Unlock()
	}
	return began
}

// begin forgets the levels of all buckets, which are empty at a time.
func (s *shard) begin(emptyAt time.Time) {
	s.emptyAt, s.assumed = emptyAt, 0
	for _, c := range s.accounts {
		c.known, c.grants, c.uses, c.use = false, nil, nil, meanUse{}
		c.usedSince, c.unknown = time.Time{}, 0
	}
}

// Leave ends all leases of the node. It stays the allocator of its shards until other nodes take
// them over, or until the leases would have lapsed.
func (a *Allocator) Leave() {
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		s.lease.listed = false
		s.mu.Unlock()
	}
}

// Status is the number of shards in each state.
type Status struct {
	// Allocated are the shards that the node allocates, Waiting those whose authority it hasn't
	// got yet, and Ended those whose lease has lapsed and that nobody has taken over.
	Allocated, Waiting, Ended []int
}

// Claims returns the shards that other nodes should know of: those that the node may be asked for.
func (s Status) Claims() []int {
	claims := slices.Concat(s.Allocated, s.Waiting, s.Ended)
	slices.Sort(claims)
	return claims
}

// Status returns the shards of the node.
func (a *Allocator) Status(now time.Time) Status {
	var status Status
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		switch {
		case s.lease.allocates(now, a.Terms.TTL):
			status.Allocated = append(status.Allocated, i)
		case s.lease.waits(now, a.Terms.TTL):
			status.Waiting = append(status.Waiting, i)
		case s.lease.lapsed(now, a.Terms.TTL):
			status.Ended = append(status.Ended, i)
		}
		s.mu.Unlock()
	}
	return status
}

func (s *shard) account(name string) *account {
	c, ok := s.accounts[name]
	if !ok {
		if s.accounts == nil {
			s.accounts = map[string]*account{}
		}
		c = &account{}
		s.accounts[name] = c
	}
	return c
}

// Allocate responds to the demands of a node. The function quota returns the quota in force of an
// account. A request with a sequence number that isn't above the last one of the node is a
// duplicate, and gets nothing.
func (a *Allocator) Allocate(now time.Time, node string, number uint64, demands []Demand, quota func(account string) wharfroute.Quota) []Grant {
	grants := make([]Grant, len(demands))
	last, frequent := a.contacts.record(now, node)
	if !last.IsZero() && now.Sub(last) >= maxSilence {
		// Either side may have been suspended or cut off.
		a.charge(now, []quietNode{{node, last}})
	}
	var allowedUntil time.Time
	for i, d := range demands {
		q := quota(d.Account)
		if !q.Limited() {
			grants[i].NotAllocator = true
			continue
		}
		s := a.shardOf(d.Account)
		s.mu.Lock()
		grants[i] = s.allocate(now, node, number, d, q, a.Terms, frequent)
		if g := grants[i].Allowance; g.PerSecond > 0 {
			allowedUntil = later(allowedUntil, now.Add(g.For))
		}
		s.mu.Unlock()
	}
	if !allowedUntil.IsZero() {
		a.contacts.allow(node, allowedUntil)
	}
	for _, d := range demands {
		s := a.shardOf(d.Account)
		s.mu.Lock()
		s.recordSequence(now, node, number)
		s.mu.Unlock()
	}
	return grants
}

func (s *shard) allocate(now time.Time, node string, number uint64, d Demand, q wharfroute.Quota, terms Terms, frequent bool) Grant {
	allocates := s.lease.allocates(now, terms.TTL)
	if !allocates && !s.lease.valid(now, terms.TTL) || s.received(now, node, number) {
		return Grant{NotAllocator: true}
	}
	c := s.account(d.Account)
	if !allocates {
		return c.grantReserve(now, d, terms.reserveQuota(q))
	}
	if !c.known {
		c.bucket, c.known = NewBucket(q, 0, s.emptyAt), true
		if s.assumed > 0 {
			c.assumeSince(now, s.emptyAt, Allowance{PerSecond: s.assumed * q.PerSecond, For: s.assumedFor})
		}
	}
	c.report(node, d)
	c.chargeUnknown(now)
	c.bucket.SetQuota(now, q)
	returned := c.returned(now, node, d.Returned)
	c.bucket.Give(now, returned)
	spare := frequent && c.bucket.Level(now) >= minAllowanceLevel*capacity(q)
	g := Grant{Tokens: c.bucket.Take(now, d.Tokens)}
	g.Allowance = c.allow(now, node, g.Tokens-returned, spare, s.lease.end(terms.TTL).Add(terms.TTL))
	if g.Tokens > 0 {
		c.grants = append(c.grants, grant{node, now, g.Tokens})
	}
	if g.Tokens < d.Tokens {
		g.RetryAfter = c.hold(now, g.Tokens == 0)
	}
	return g
}

// grantReserve grants tokens of the reserve.
func (c *account) grantReserve(now time.Time, d Demand, q wharfroute.Quota) Grant {
	if c.reserve.at.IsZero() {
		c.reserve = NewBucket(q, q.Burst, now)
	}
	c.reserve.SetQuota(now, q)
	g := Grant{Uncertain: true, Tokens: c.reserve.Take(now, d.Tokens)}
	if g.Tokens < d.Tokens {
		g.RetryAfter = min(max(c.reserve.Wait(now), minHold), uncertainHold)
	}
	return g
}

// returned returns how many of the tokens that a node gives back count: those of valid grants.
func (c *account) returned(now time.Time, node string, n int) int {
	c.grants = slices.DeleteFunc(c.grants, func(g grant) bool { return now.Sub(g.at) >= TokenTTL || g.tokens == 0 })
	counted := 0
	for i := range c.grants {
		if g := &c.grants[i]; g.node == node && counted < n {
			taken := min(g.tokens, n-counted)
			g.tokens -= taken
			counted += taken
		}
	}
	return counted
}

// hold returns the time after which a node should ask again: that of the next token or, if several
// nodes ask, that of as many tokens.
func (c *account) hold(now time.Time, refused bool) time.Duration {
	if now.Sub(c.refusalsAt) >= maxHold {
		c.refusals, c.refusalsAt = 0, now
	}
	if refused {
		c.refusals++
	}
	turns := time.Duration(min(c.refusals/c.bucket.quota.PerSecond, maxHold.Seconds()) * float64(time.Second))
	return max(c.bucket.Wait(now), turns, minHold)
}

// received reports whether a request of a node is a duplicate.
func (s *shard) received(now time.Time, node string, number uint64) bool {
	last := s.sequences[node]
	return last.number >= number && now.Sub(last.at) < sequenceTTL
}

// recordSequence records the last sequence number of a node.
func (s *shard) recordSequence(now time.Time, node string, number uint64) {
	if s.received(now, node, number) {
		return
	}
	if s.sequences == nil {
		s.sequences = map[string]sequence{}
	}
	s.sequences[node] = sequence{number, now}
	if now.Before(s.pruneAt) {
		return
	}
	s.pruneAt = now.Add(sequenceTTL)
	for n, last := range s.sequences {
		if now.Sub(last.at) >= sequenceTTL {
			delete(s.sequences, n)
		}
	}
	for _, c := range s.accounts {
		maps.DeleteFunc(c.uses, func(_ string, u nodeUse) bool { return now.Sub(u.use.at) >= accountTTL })
	}
}

// Left returns the tokens left of an account, and false if this node doesn't allocate it or has got
// no request for it. It changes nothing.
func (a *Allocator) Left(now time.Time, name string) (float64, bool) {
	s := a.shardOf(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.accounts[name]
	if !ok || !c.known || !s.lease.allocates(now, a.Terms.TTL) {
		return 0, false
	}
	bucket := c.bucket
	return bucket.Level(now), true
}
