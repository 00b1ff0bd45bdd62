// Package wharfcluster coordinates a node with the other nodes and with the
// platform's log. It propagates configuration and membership by anti-entropy
// gossip, follows the log, and keeps the ownership of idempotency keys up to
// date with the targets of this node.
//
// In each gossip round a node exchanges digests and recent records with a few
// peers (round.go, exchange.go). A few nodes of each failure domain read the
// log (follower.go). The other nodes get its records by gossip. They read the
// log themselves only if, for a long time, neither a read nor a peer has
// confirmed that their state is complete up to the end of the log. A node
// appends its own records to the log in ownership.go, snapshot.go and audit.go.
// The directory is where nodes find each other; registration.go keeps its
// entries up to date with the members.
package wharfcluster
