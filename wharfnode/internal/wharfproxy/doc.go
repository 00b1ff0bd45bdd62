// Package wharfproxy is the caller's side of a node: it takes HTTP requests of
// callers and of the service on its VM, and sends each to a node that runs it.
//
// A request passes the filters in the order of proxy.go: identify, classify,
// deadline, quarantine, then the attempts of send.go, each of which routes
// and sends. The answer is passed on only when it is whole, or streamed so
// that a part can't pass as the whole.
package wharfproxy
