package wharfquota

import "time"

// Standing describes what a node knows of the quota of an account.
type Standing struct {
	// Verdict is what the next request would get at once, and RetryAfter the time after which a
	// refused one may be sent again.
	Verdict    Verdict
	RetryAfter time.Duration
	// Tokens is the number of valid tokens at the node.
	Tokens float64
	// EqualShare is true if each node has an equal share of the quota, so that there is no allocator.
	EqualShare bool
	// Allocator is the node that allocates the account, empty if none is known. Left is the number of
	// tokens left there, valid if LeftKnown is true. Only the allocator itself knows it.
	Allocator string
	Left      float64
	LeftKnown bool
}

// Standing returns what the client knows of an account. It takes no token and changes nothing.
func (c *Client) Standing(now time.Time, account string) Standing {
	s := c.shardOf(account)
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.accounts[account]
	if !ok {
		return Standing{}
	}
	return a.standing(now)
}

func (a *clientAccount) standing(now time.Time) Standing {
	var out Standing
	for _, s := range a.stock {
		if now.Before(s.expires) {
			out.Tokens += float64(s.tokens)
		}
	}
	spare := a.allowance
	switch {
	case out.Tokens > 0, a.unreached && spare.take(now):
		out.Verdict = Granted
	case now.Before(a.refusedUntil):
		out.Verdict, out.RetryAfter = a.refusal, a.refusedUntil.Sub(now)
	}
	return out
}

// Standing returns what a bucket that only this node takes from would grant. It changes nothing.
func (b Bucket) Standing(now time.Time) Standing {
	out := Standing{Verdict: Granted, Tokens: b.Level(now), EqualShare: true}
	if out.RetryAfter = b.Wait(now); out.RetryAfter > 0 {
		out.Verdict = Refused
	}
	return out
}
