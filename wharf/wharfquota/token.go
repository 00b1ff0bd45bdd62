package wharfquota

import "time"

// Token is the right to send one request. The zero Token is none.
type Token struct {
	expires time.Time
	// allowance is true if the token is one of the node's allowance.
	allowance bool
}

// NewToken returns a token that was requested at a time.
func NewToken(requested time.Time) Token {
	return Token{expires: requested.Add(TokenTTL)}
}

// Valid reports whether the token hasn't expired.
func (t Token) Valid(now time.Time) bool {
	return now.Before(t.expires)
}

// OfAllowance reports whether the token was granted without an allocator.
func (t Token) OfAllowance() bool {
	return t.allowance
}

// Verdict is the result of a request for a token.
type Verdict int

// Verdicts.
const (
	// Pending means that an allocator must be asked.
	Pending Verdict = iota
	// Granted means that there is a token.
	Granted
	// Refused means that the quota is used up, until Result.RetryAfter has passed.
	Refused
	// Uncertain means that the allocator doesn't know yet how much of the quota is left.
	Uncertain
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	switch v {
	case Granted:
		return "granted"
	case Refused:
		return "refused"
	case Uncertain:
		return "uncertain"
	default:
		return "pending"
	}
}

// Result is the verdict on a request.
type Result struct {
	Verdict Verdict
	// Token is set if the verdict is Granted.
	Token      Token
	RetryAfter time.Duration
}

// Waiter is a request that waits for an allocator.
type Waiter interface {
	// Settle is called once, with a verdict other than Pending. It must not block.
	Settle(r Result)
}
