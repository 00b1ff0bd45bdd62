// Package wharfcallers bounds the heads of requests that a node reads at once.
//
// net/http reads the whole head of a request before a handler runs, so that all callers
// together could fill the memory before any request can be refused. A connection needs a
// pass to read more of a head than its buffer holds. Passes are given in the order in which
// they are asked for, and returned when the request is admitted or has its response.
package wharfcallers
