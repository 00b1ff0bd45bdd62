// Package wharfoutcome defines the outcomes of requests that callers receive.
//
// It imports no other package of the module. Every other decision package returns
// its values, and the node maps them to HTTP and gRPC.
//
// The package does no I/O and reads no clock.
package wharfoutcome
