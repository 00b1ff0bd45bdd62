// Package wharfidempotency decides which node may run a request that must take
// effect at most once, and records the result of the request.
//
// A caller sends the same idempotency key with a request and with each resend of it.
// The owner of a key is the node that may run requests with the key at present; a
// previous owner is a node that owned the key earlier and may have run it. An
// OwnershipTable is built from the ownership records in the log. It assigns each key
// an owner by rendezvous hashing over the nodes of a service, and keeps the previous
// owners of the key.
//
// For a request that isn't idempotent and has no key from its caller, the nodes
// generate a key for each attempt. The owner of a generated key is the node that the
// attempt is sent to. An OwnershipTable isn't used for such a key.
//
// A KeyStore holds the entries of one node. A key starts as absent, becomes waiting
// and then running, and ends as done or lost. Closing a key on a node forbids the
// node to run the key unless it becomes the owner again later.
//
// Before an owner runs a key that it gained from other nodes, it asks these
// previous owners, and each of them closes the key when it responds. At-most-once
// execution doesn't depend on clocks or leases; times only limit how long
// callers may resend a key.
//
// The package does no I/O and reads no clock. The target side of the node
// carries out its decisions.
package wharfidempotency
