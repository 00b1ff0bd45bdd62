// Package wharfload is an open-loop load generator: it sends requests to nodes
// as callers do, and measures what the callers see. It reports the goodput by
// class (complete responses per second), the recovery time after a disruption,
// the latency, and the attempts per request.
package wharfload
