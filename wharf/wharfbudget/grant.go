package wharfbudget

// DefaultAttempts is the grant of a user request whose rules name none.
const DefaultAttempts = 64

// The part of the remaining attempts that an attempt hands down.
const (
	handDownNumerator   = 3
	handDownDenominator = 4
)

// Grant counts the attempts that one hop has left. The zero Grant allows none.
type Grant struct {
	left int
}

// NewGrant returns a grant of n attempts.
func NewGrant(n int) Grant {
	return Grant{left: max(n, 0)}
}

// Left returns the number of attempts that remain.
func (g Grant) Left() int {
	return g.left
}

// WithAttempt takes one attempt and the part that it hands down. It is false
// if nothing is left.
func (g Grant) WithAttempt() (rest Grant, handedDown int, ok bool) {
	if g.left < 1 {
		return g, 0, false
	}
	remaining := g.left - 1
	handedDown = (remaining*handDownNumerator + handDownDenominator - 1) / handDownDenominator
	return Grant{left: remaining - handedDown}, handedDown, true
}

// WithReturned adds the attempts that an answer brought back. A peer can
// return no more than it was handed.
func (g Grant) WithReturned(handedDown, returned int) Grant {
	g.left += min(max(returned, 0), handedDown)
	return g
}

// WithRefund takes back an attempt that never left this node.
func (g Grant) WithRefund(handedDown int) Grant {
	g.left += handedDown + 1
	return g
}
