// Package wharfrouting decides which target a request is sent to.
//
// A Balancer holds what one node knows of the targets of one service: what
// they announced, what answers reported, and what calls themselves showed. It
// picks by load and distance, ejects targets that fail, starts new ones
// gently, and knows when a refusal was the last word of the whole service.
//
// The package is pure. The entry side of the node keeps one Balancer for each
// service under a lock of its own.
package wharfrouting
