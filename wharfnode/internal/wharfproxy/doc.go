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
package wharfproxy
