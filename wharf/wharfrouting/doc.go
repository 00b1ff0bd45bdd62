// Package wharfrouting decides which target a request is sent to.
//
// A Balancer holds what one node knows about the targets of one service: their
// announcements, the load reports in their responses, and the results of this
// node's own attempts. It picks a target by load and locality (power of two
// choices), or by measured speed and the node's own requests in flight (weighted
// choices), ejects targets that fail (outlier ejection), and increases the load of
// new targets gradually (slow start). It also reports whether another target might
// accept a request that one target refused.
//
// The package does no I/O and reads no clock. The proxy of a node keeps one
// Balancer per service, each under its own lock.
package wharfrouting
