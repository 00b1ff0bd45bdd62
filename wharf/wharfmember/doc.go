// Package wharfmember decides which nodes exist, which of them are alive, and
// which entries a node sends to which gossip peer.
//
// A Table holds one entry for each node. Entries are ordered by incarnation and
// version, so tables that exchange entries by anti-entropy gossip converge in any
// order of the exchanges. Each bucket of entries has a digest; two tables compare
// their digests to find the buckets that differ without sending the entries. A
// FailureDetector turns failed exchanges into failure reports; a node is down
// after several nodes have reported it.
//
// The package does no I/O and reads no clock. The cluster agent of the node passes
// it the results of exchanges; the routing code takes its targets from the table.
package wharfmember
