// Package wharftarget is the target side of a node: it receives calls from
// other nodes, admits them, dispatches them to a target on the same VM and sends
// the response back.
//
// A call passes the filters in the order of receive.go: leaving, deadline,
// quarantine, ownership, admission, dispatch. Each filter is one file. The decisions
// are made by packages without I/O, such as wharfadmission and wharfidempotency;
// this package holds the locks, the connections to targets and the waiting calls.
package wharftarget
