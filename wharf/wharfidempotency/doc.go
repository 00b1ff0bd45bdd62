// Package wharfidempotency decides which node may run a request that must take
// effect at most once, and remembers what became of it.
//
// An OwnershipTable is the fold of the ownership records in the platform's log. It names
// the home of each key by rendezvous hashing over the nodes of a service, and
// knows who was the home of the key before. A KeyStore holds the records of one home:
// each key goes from absent over waiting and running to done or lost, or is
// closed, after which it never runs there.
//
// A home that gained a key by a move first asks the earlier homes, which close
// the key as they answer. No clock and no lease proves anything here; times
// only bound how long callers may resend.
//
// The package is pure. The target side of the node carries out its decisions.
package wharfidempotency
