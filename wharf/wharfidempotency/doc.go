// Package wharfidempotency decides which node may run a request that must take
// effect at most once, and records the result of the request.
//
// An OwnershipTable is built from the ownership records in the log. It assigns
// each key an owner by rendezvous hashing over the nodes of a service, and keeps
// the previous owners of the key. A KeyStore holds the entries of one node. A
// key starts as absent, becomes waiting and then running, and ends as done or
// lost. A key can also be closed; a closed key doesn't run on that node unless
// the node becomes its owner again.
//
// Before an owner runs a key that it gained from other nodes, it asks these
// previous owners, and each of them closes the key when it responds. At-most-once
// execution doesn't depend on clocks or leases; times only limit how long
// callers may resend a key.
//
// The package does no I/O. The target side of the node carries out its
// decisions.
package wharfidempotency
