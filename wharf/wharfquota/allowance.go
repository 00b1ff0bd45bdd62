package wharfquota

import "time"

const (
	// ContactInterval is the longest time between two requests of a node to an allocator whose
	// allowance it has. A node without demands sends a request without any.
	ContactInterval = 400 * time.Millisecond
	// minAllowanceBurst is the least number of requests that may follow each other at once.
	minAllowanceBurst = 2
	// allowanceBurstTime is the time for which a node keeps what it doesn't use.
	allowanceBurstTime = time.Second
)

// Allowance is the rate at which a node may send requests of an account while it reaches no
// allocator: as many as it was granted before. The zero Allowance is none.
type Allowance struct {
	PerSecond float64
	// For is how long after the demand was sent the allowance may be used. Another allocator that
	// can't reach the one that gave the allowance begins later than that.
	For time.Duration
}

// allowance is the state of an Allowance at the node that has it.
type allowance struct {
	// allocator is the one that gave it.
	allocator string
	perSecond float64
	level     float64
	at, until time.Time
	// used is the number of requests that were sent within allowances of this allocator.
	used int
}

// set replaces the allowance by that of a demand that was sent at a time.
func (a *allowance) set(sent time.Time, allocator string, next Allowance) {
	used := a.used
	if allocator != a.allocator {
		used = 0
	}
	*a = allowance{allocator: allocator, perSecond: max(next.PerSecond, 0), at: sent, until: sent.Add(next.For), used: used}
}

// demand adds what the allocator that is asked must know of the allowance.
func (a *allowance) demand(now time.Time, allocator string, d Demand) Demand {
	switch {
	case a.allocator == allocator:
		d.Unallocated = a.used
	case now.Before(a.until):
		d.GivenUp = a.perSecond
	}
	return d
}

// take takes one request.
func (a *allowance) take(now time.Time) bool {
	if a.perSecond <= 0 || !now.Before(a.until) {
		return false
	}
	if elapsed := now.Sub(a.at); elapsed > 0 {
		a.level = min(a.level+elapsed.Seconds()*a.perSecond, a.burst())
		a.at = now
	}
	if a.level < 1-rounding {
		return false
	}
	a.level--
	a.used++
	return true
}

func (a *allowance) burst() float64 {
	return max(a.perSecond*allowanceBurstTime.Seconds(), minAllowanceBurst)
}

// give puts one request back.
func (a *allowance) give() {
	a.level = min(a.level+1, a.burst())
	a.used = max(a.used-1, 0)
}

// Contact records the last request of a node to an allocator, and until when the node has allowances
// of it. The zero Contact is that of a node that has sent none.
type Contact struct {
	sent, allowedUntil time.Time
}

// WithRequest returns the contact after a request was sent.
func (c Contact) WithRequest(now time.Time) Contact {
	c.sent = now
	return c
}

// WithGrants returns the contact after the response to a request that was sent at a time.
func (c Contact) WithGrants(sent time.Time, grants []Grant) Contact {
	for _, g := range grants {
		if !g.NotAllocator && !g.Uncertain && g.Allowance.PerSecond > 0 {
			c.allowedUntil = later(c.allowedUntil, sent.Add(g.Allowance.For))
		}
	}
	return c
}

// Due reports whether a request without demands is due.
func (c Contact) Due(now time.Time) bool {
	return now.Before(c.allowedUntil) && now.Sub(c.sent) >= ContactInterval
}
