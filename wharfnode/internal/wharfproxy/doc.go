// Package wharfproxy implements the caller's side of a node. It receives HTTP
// requests from callers and from the service on its VM, and sends each one to
// the node of a target.
//
// A request passes the filters in the order listed in proxy.go: identify,
// classify, set the deadline, read the body, check the quarantine. Then send.go
// makes the attempts: it chooses a target for each one and sends the request to
// the node of that target. A short response is forwarded only when it is
// complete. A long one is streamed, and the connection to the caller is aborted
// if the response is truncated, so that the caller never takes a part for the
// complete response.
//
// The nodes read their configuration, routes and key ownership from the platform's
// log. The state of a node is what it has read of this log up to an offset. The
// package also uses these notions:
//
//   - Grant and ledger (package wharfbudget): the grant is the number of attempts
//     that a request may still make, together with all calls that targets make to
//     serve it. Each attempt delegates a part of the grant to the target's node,
//     which keeps it in its ledger while the target serves the call.
//   - Admission level (wharfadmission): requests that are less important than the
//     level are refused. LevelOpen admits every request.
//   - Key (wharfidempotency): a request that isn't idempotent must run at most
//     once. It has an idempotency key from its caller, or the node generates a key
//     for each attempt. A caller's key has one owner, the node that may run
//     requests with it; a generated key is owned by the node that the attempt is
//     sent to. If a node is asked about a key with which it has dispatched no
//     request, it closes the key: it won't dispatch a request with it unless it
//     becomes the owner again.
//   - Exposure limit (wharfrouting): a request is sent to few targets only, until
//     it is known safe because an equal request has completed without a crash.
package wharfproxy
