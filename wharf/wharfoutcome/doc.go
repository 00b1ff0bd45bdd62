// Package wharfoutcome defines the outcomes of requests that callers receive.
//
// It imports no other package of the module. The packages that decide about
// requests, such as wharfadmission and wharfrouting, return these outcomes or their
// reasons, and the node maps them to HTTP and gRPC.
//
// The package does no I/O and reads no clock.
package wharfoutcome
