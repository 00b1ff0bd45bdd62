// Package wharfmember decides which nodes exist, which are alive, and what to
// tell which neighbour.
//
// A Table holds one entry for each node. Entries are ordered by incarnation
// and version, so tables that exchange entries agree in the end, whatever the
// order. Digests of buckets of entries show where two tables differ without
// sending them. A FailureDetector turns failed exchanges into accusations; it takes
// several reporters to declare a node down.
//
// The package is pure. The node's mesh feeds it exchanges; routing takes its
// targets from the table.
package wharfmember
