// Package wharftargetservice implements a stand-in for a target: a service with
// a number of slots and a service time. It calls other services through its
// node, counts how often each idempotency key took effect, and crashes on
// request.
package wharftargetservice
