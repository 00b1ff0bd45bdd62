// Package wharfview holds a node's current view of the system: the state built
// from the log, the member table, and what both mean for routing and ownership.
//
// The cluster agent writes the view. The proxy and the target server read it.
// Reading the state takes no lock.
package wharfview
