// Package wharftarget is the target side of a node: it receives calls from
// other nodes, admits them, dispatches them to a target on the same VM and sends
// the response back.
//
// A call passes the filters in the order of receive.go: leaving, deadline,
// quarantine, ownership, admission, dispatch. Each filter is one file. The decisions
// are made by packages without I/O, such as wharfadmission and wharfidempotency;
// this package holds the locks, the connections to targets and the waiting calls.
// It uses these notions:
//
//   - Gate and ticket (package wharfadmission): the gate of a target decides which
//     calls run, wait or are refused. A ticket describes a call to the gate. A
//     reserve is a share of the target's concurrency limit that is kept for a class
//     and the more important ones.
//   - Admission level (wharfadmission): calls that are less important than the level
//     are refused. LevelOpen admits every call.
//   - Grant and ledger (wharfbudget): the grant of a call is the number of attempts
//     that the target may spend on its downstream calls. The ledger holds the grants
//     of the calls in progress.
//   - Key (wharfidempotency): a request that isn't idempotent must run at most once.
//     It has an idempotency key from its caller, or a key that was generated for the
//     attempt. A caller's key has one owner, the node that may run requests with it.
//     Nodes that owned the key earlier are its previous owners. Before the owner
//     dispatches the first request with a key, it asks them for their entries of the
//     key. A node that has dispatched no request with the key then closes the key: it
//     won't dispatch one unless it becomes the owner again.
//   - Exposure limit (wharfrouting): a request that is suspected of crashing targets
//     may run on few targets only.
package wharftarget
