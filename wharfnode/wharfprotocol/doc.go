// Package wharfprotocol defines the protocol between a node and its callers and
// targets: which headers carry which information, and how an outcome is written.
// The packages that decide on requests don't depend on it.
//
// Native is the project's own protocol. If callers and targets use another
// protocol, the program that builds the node supplies an implementation of it.
package wharfprotocol
