package wharfroute

import (
	"crypto/sha256"
	"encoding/hex"
)

// routeRanks is the number of ranks of routes that are told apart within the rank of an account.
const routeRanks = 4

// Account is a client account, whose callers identify themselves with keys.
type Account struct {
	Name string `json:"name"`
	// Keys holds the digests of the keys, see KeyDigest.
	Keys []string `json:"keys,omitempty"`
	// Rank is the importance of the account's requests, before that of their routes. Without
	// Ranked, only that of the routes counts.
	Rank   int   `json:"rank,omitempty"`
	Ranked bool  `json:"ranked,omitempty"`
	Quota  Quota `json:"quota"`
}

// Quota bounds the requests of an account over all nodes together. The zero Quota is no bound.
type Quota struct {
	// PerSecond is the rate of requests, zero for no bound.
	PerSecond float64 `json:"per-second,omitempty"`
	// Burst is the number of requests beyond the rate that may come at once.
	Burst float64 `json:"burst,omitempty"`
}

// Limited reports whether there is a bound.
func (q Quota) Limited() bool {
	return q.PerSecond > 0
}

// KeyDigest returns the form in which keys are stored, sent to other nodes and compared, so that
// the keys themselves are in no record.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// RequestRank returns the rank of a request of the account, or of one without an account if a is
// nil, where requests have accounts: the rank of the account, then that of the route.
func (a *Account) RequestRank(route int) int {
	account := route
	if a != nil && a.Ranked {
		account = a.Rank
	}
	return account*routeRanks + min(route, routeRanks-1)
}
