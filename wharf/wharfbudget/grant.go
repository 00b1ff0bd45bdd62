package wharfbudget

// DefaultAttempts is the grant of a user request for which the configuration sets
// none.
const DefaultAttempts = 64

// The fraction of the remaining attempts that an attempt delegates, rounded up.
const (
	delegatedNumerator   = 3
	delegatedDenominator = 4
)

// Grant is the number of attempts that one hop has left. The zero Grant allows
// none.
type Grant struct {
	left int
}

// NewGrant returns a grant of n attempts. A negative n counts as zero.
func NewGrant(n int) Grant {
	return Grant{left: max(n, 0)}
}

// Left returns the number of attempts that remain.
func (g Grant) Left() int {
	return g.left
}

// WithAttempt returns the grant that remains after one attempt and the number of
// attempts that this attempt delegates to the next hop. ok is false if no attempts
// are left.
func (g Grant) WithAttempt() (rest Grant, delegated int, ok bool) {
	if g.left < 1 {
		return g, 0, false
	}
	remaining := g.left - 1
	delegated = (remaining*delegatedNumerator + delegatedDenominator - 1) / delegatedDenominator
	return Grant{left: remaining - delegated}, delegated, true
}

// WithReturned returns the grant with the attempts that a response returned. A peer
// can return no more attempts than were delegated to it.
func (g Grant) WithReturned(delegated, returned int) Grant {
	g.left += min(max(returned, 0), delegated)
	return g
}

// WithRefund returns the grant with an attempt that was never sent, and with the
// attempts that it delegated.
func (g Grant) WithRefund(delegated int) Grant {
	g.left += delegated + 1
	return g
}
