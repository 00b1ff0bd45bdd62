// Package wharfwire defines what processes send to each other: the messages of
// the node-to-node protocol (generated from wharf.proto), the names of the
// HTTP headers, the context header and the checksum of a body.
//
// Both the caller's side (wharfproxy) and the target's side (wharftarget) of a
// node use it.
package wharfwire
