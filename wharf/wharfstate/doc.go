// Package wharfstate builds the state that all nodes share from the platform's
// log: the configuration, the routes and the ownership of keys at one offset.
//
// It builds on wharfconfig, wharfroute and wharfidempotency, and defines the
// form of a record in the log (envelope.go).
//
// The package does no I/O and reads no clock. The node's log reader and its gossip
// exchanges pass the records in. They may pass any ranges of the log, also
// repeatedly.
//
// The state of a node is confirmed at a time if it included all records that the
// log held at that time.
package wharfstate
