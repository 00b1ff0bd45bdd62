// Package wharfcluster is how the nodes act together: it spreads configuration
// and members between them, follows the platform's log, and keeps the
// ownership of keys in step with the targets of this node.
//
// Rounds of exchanges with a few partners carry digests and news (round.go,
// exchange.go). A few nodes of each failure domain read the log
// (follower.go); the others get its records by exchange and read it
// themselves only when nothing has confirmed their state for long. Records of
// this node go to the log through ownership.go, snapshot.go and audit.go.
// registration.go keeps the directory in step, where nodes find each other.
package wharfcluster
