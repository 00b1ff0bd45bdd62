package wharfquota

import (
	"slices"
	"sync"
	"time"
)

const (
	// useWindow is the period of which a node requests the use ahead.
	useWindow = 200 * time.Millisecond
	// returnMargin is the least validity of a token that is returned, so that it is still valid when
	// a slow request with it arrives.
	returnMargin = 150 * time.Millisecond
	// accountTTL is how long the state of an account is kept without requests.
	accountTTL = time.Minute
)

// Client holds the tokens of one node. It is safe for concurrent use.
type Client struct {
	shards []clientShard
}

type clientShard struct {
	mu       sync.Mutex
	accounts map[string]*clientAccount
	pruneAt  time.Time
}

// clientAccount is the state of an account at a node that sends its requests.
type clientAccount struct {
	// stock holds the tokens, those that expire first in front.
	stock   []stock
	waiters []Waiter
	// asked is true while a request to the allocator is in flight.
	asked bool
	// unreached is true if the last demand got no response, or none of a node that knows how much
	// of the quota is left. The node then uses its allowance.
	unreached bool
	allowance allowance
	// probing is true if an allocator must be asked although no request waits.
	probing bool
	// refusal is the verdict until a time, if the account has no tokens.
	refusal      Verdict
	refusedUntil time.Time
	// used and usedBefore count the tokens taken in the window from usedAt on and in the one before.
	used, usedBefore int
	usedAt           time.Time
}

// stock is a number of tokens that expire together.
type stock struct {
	expires time.Time
	tokens  int
}

// NewClient returns a client without tokens, for a number of shards.
func NewClient(shards int) *Client {
	return &Client{shards: make([]clientShard, max(shards, 1))}
}

// shardOf returns the state of the shard of an account.
func (c *Client) shardOf(account string) *clientShard {
	return &c.shards[ShardOf(account, len(c.shards))]
}

// Take takes a token of an account if the node has one. Its verdict is Pending if an allocator must
// be asked.
func (c *Client) Take(now time.Time, account string) Result {
	s := c.shardOf(account)
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.accounts[account]
	if !ok {
		return Result{}
	}
	return a.take(now)
}

// Wait does the same, but the waiter gets the verdict later if an allocator must be asked.
func (c *Client) Wait(now time.Time, account string, w Waiter) Result {
	s := c.shardOf(account)
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.accounts[account]
	if !ok {
		a = s.add(now, account)
	}
	r := a.take(now)
	if r.Verdict == Pending {
		a.waiters = append(a.waiters, w)
	}
	return r
}

// add adds an account, and removes those that aren't used any more from time to time.
func (s *clientShard) add(now time.Time, account string) *clientAccount {
	if s.accounts == nil {
		s.accounts = map[string]*clientAccount{}
	}
	if !now.Before(s.pruneAt) {
		s.pruneAt = now.Add(accountTTL)
		for name, a := range s.accounts {
			if len(a.waiters) == 0 && !a.asked && now.Sub(a.usedAt) > accountTTL && now.After(a.refusedUntil) {
				delete(s.accounts, name)
			}
		}
	}
	a := &clientAccount{usedAt: now}
	s.accounts[account] = a
	return a
}

func (a *clientAccount) take(now time.Time) Result {
	a.expire(now)
	if len(a.stock) > 0 {
		first := &a.stock[0]
		first.tokens--
		token := Token{expires: first.expires}
		if first.tokens == 0 {
			a.stock = slices.Delete(a.stock, 0, 1)
		}
		a.countUse(now)
		return Result{Verdict: Granted, Token: token}
	}
	if a.unreached && a.allowance.take(now) {
		a.probing = !now.Before(a.refusedUntil)
		a.countUse(now)
		return Result{Verdict: Granted, Token: Token{expires: now.Add(TokenTTL), allowance: true}}
	}
	if now.Before(a.refusedUntil) {
		return Result{Verdict: a.refusal, RetryAfter: a.refusedUntil.Sub(now)}
	}
	return Result{}
}

// expire removes the tokens that aren't valid any more.
func (a *clientAccount) expire(now time.Time) {
	n := 0
	for n < len(a.stock) && !now.Before(a.stock[n].expires) {
		n++
	}
	if n > 0 {
		a.stock = slices.Delete(a.stock, 0, n)
	}
}

// countUse counts a token that was taken.
func (a *clientAccount) countUse(now time.Time) {
	a.rollUse(now)
	a.used++
}

func (a *clientAccount) rollUse(now time.Time) {
	switch elapsed := now.Sub(a.usedAt); {
	case elapsed >= 2*useWindow:
		a.used, a.usedBefore, a.usedAt = 0, 0, now
	case elapsed >= useWindow:
		a.used, a.usedBefore, a.usedAt = 0, a.used, a.usedAt.Add(useWindow)
	}
}

// recentUse returns the number of tokens taken in the last window, estimated from the present
// window and a part of the one before.
func (a *clientAccount) recentUse(now time.Time) int {
	a.rollUse(now)
	before := 1 - float64(now.Sub(a.usedAt))/float64(useWindow)
	return a.used + int(float64(a.usedBefore)*max(before, 0))
}

// Expire ends the wait of a waiter that no allocator has answered in time, and returns its verdict,
// which isn't Pending. It returns false if the waiter was settled before.
func (c *Client) Expire(now time.Time, account string, w Waiter) (Result, bool) {
	s := c.shardOf(account)
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.accounts[account]
	if !ok {
		return Result{}, false
	}
	i := slices.Index(a.waiters, w)
	if i < 0 {
		return Result{}, false
	}
	a.waiters = slices.Delete(a.waiters, i, i+1)
	a.unreached = true
	r := a.take(now)
	if r.Verdict == Pending {
		r.Verdict = Uncertain
	}
	return r, true
}

// Return gives back the token of a request that reached no target, as long as it is valid.
func (c *Client) Return(now time.Time, account string, t Token) {
	if !t.Valid(now) {
		return
	}
	s := c.shardOf(account)
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.accounts[account]
	if !ok {
		return
	}
	a.used = max(a.used-1, 0)
	if t.allowance {
		a.allowance.give()
		return
	}
	a.add(now, t.expires, 1)
}

// add adds tokens, first to the requests that wait.
func (a *clientAccount) add(now time.Time, expires time.Time, tokens int) {
	if !now.Before(expires) {
		return
	}
	for tokens > 0 && len(a.waiters) > 0 {
		a.countUse(now)
		a.settle(Result{Verdict: Granted, Token: Token{expires: expires}})
		tokens--
	}
	if tokens == 0 {
		return
	}
	i, found := slices.BinarySearchFunc(a.stock, expires, func(s stock, t time.Time) int { return s.expires.Compare(t) })
	if found {
		a.stock[i].tokens += tokens
		return
	}
	a.stock = slices.Insert(a.stock, i, stock{expires, tokens})
}

// settle gives a verdict to the request that waits longest.
func (a *clientAccount) settle(r Result) {
	w := a.waiters[0]
	a.waiters = slices.Delete(a.waiters, 0, 1)
	w.Settle(r)
}

// Demands returns what to request of the allocator of some shards, which has a name: tokens for the
// requests that wait and, ahead, as many as the node has used lately. It is empty if no request waits
// for another demand. Each result must be passed to Granted or Failed.
func (c *Client) Demands(now time.Time, allocator string, shards []int) []Demand {
	if !slices.ContainsFunc(shards, c.waiting) {
		return nil
	}
	var demands []Demand
	for _, i := range shards {
		s := &c.shards[i]
		s.mu.Lock()
		for name, a := range s.accounts {
			if d, ok := a.demand(now, allocator); ok {
				d.Account = name
				demands = append(demands, d)
			}
		}
		s.mu.Unlock()
	}
	return demands
}

// waiting reports whether an account that has no demand in flight needs one.
func (c *Client) waiting(shard int) bool {
	s := &c.shards[shard]
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.accounts {
		if (len(a.waiters) > 0 || a.probing) && !a.asked {
			return true
		}
	}
	return false
}

func (a *clientAccount) demand(now time.Time, allocator string) (Demand, bool) {
	if a.asked {
		return Demand{}, false
	}
	d := a.allowance.demand(now, allocator, Demand{})
	if len(a.waiters) > 0 || a.probing {
		a.probing = false
		d.Tokens = max(len(a.waiters)+a.recentUse(now), 1)
	} else {
		d.Returned = a.surplus(now)
	}
	a.asked = d.Tokens > 0 || d.Returned > 0 || d.GivenUp > 0
	return d, a.asked
}

// surplus removes and returns the tokens that the node probably won't use, because it has used
// none lately.
func (a *clientAccount) surplus(now time.Time) int {
	a.expire(now)
	if a.recentUse(now) > 0 {
		return 0
	}
	n := 0
	for _, s := range a.stock {
		if s.expires.Sub(now) >= returnMargin {
			n += s.tokens
		}
	}
	a.stock = slices.DeleteFunc(a.stock, func(s stock) bool { return s.expires.Sub(now) >= returnMargin })
	return n
}

// Granted applies the response of an allocator to demands that were sent at a time. It returns the
// accounts that the node that was asked doesn't allocate.
func (c *Client) Granted(now, sent time.Time, allocator string, demands []Demand, grants []Grant) []string {
	var misdirected []string
	for i, d := range demands {
		g := Grant{NotAllocator: true}
		if i < len(grants) {
			g = grants[i]
		}
		if g.NotAllocator {
			misdirected = append(misdirected, d.Account)
		}
		s := c.shardOf(d.Account)
		s.mu.Lock()
		if a, ok := s.accounts[d.Account]; ok {
			a.granted(now, sent, allocator, d, g)
		}
		s.mu.Unlock()
	}
	return misdirected
}

func (a *clientAccount) granted(now, sent time.Time, allocator string, d Demand, g Grant) {
	a.asked = false
	if g.NotAllocator {
		return
	}
	a.unreached = g.Uncertain
	a.add(now, sent.Add(TokenTTL), g.Tokens)
	if !g.Uncertain {
		a.allowance.set(sent, allocator, g.Allowance)
	}
	if g.Tokens >= d.Tokens {
		return
	}
	a.refusal = Refused
	if g.Uncertain {
		a.refusal = Uncertain
		a.serveUnreached(now)
	}
	a.refusedUntil = now.Add(g.RetryAfter)
	for len(a.waiters) > 0 {
		a.settle(Result{Verdict: a.refusal, RetryAfter: g.RetryAfter})
	}
}

// serveUnreached grants the allowance to requests that wait.
func (a *clientAccount) serveUnreached(now time.Time) {
	for len(a.waiters) > 0 {
		r := a.take(now)
		if r.Verdict != Granted {
			return
		}
		a.settle(r)
	}
}

// Failed ends demands that got no response. Requests beyond the allowance still wait.
func (c *Client) Failed(now time.Time, demands []Demand) {
	for _, d := range demands {
		s := c.shardOf(d.Account)
		s.mu.Lock()
		if a, ok := s.accounts[d.Account]; ok {
			a.asked, a.unreached = false, true
			a.serveUnreached(now)
		}
		s.mu.Unlock()
	}
}
