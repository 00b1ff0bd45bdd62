// Package wharftarget is the target side of a node: it receives calls from
// other nodes, admits them, dispatches them to the target on its VM and sends
// the answer back.
//
// A call passes the filters in the order of receive.go: leaving, deadline,
// quarantine, ownership, admission, dispatch. Each filter is one file. Decisions
// come from the pure packages; this package holds the locks, the connections
// to targets and the waiting callers.
package wharftarget
