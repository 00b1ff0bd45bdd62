// Package wharfwire holds what travels between processes: the messages of
// the node-to-node protocol (generated from wharf.proto), the names of the
// HTTP headers, the context header and the checksum of a body.
//
// The entry and the target side of a node both build on it.
package wharfwire
