// Package wharfconfig builds the configuration in force from the changes in
// the log and classifies requests and targets with it.
//
// It works in four phases, each of which uses only the one before: it reads
// documents from YAML (document.go, parse.go), validates them (validate.go),
// applies logged changes to an immutable Snapshot (change.go, snapshot.go), and
// classifies requests and targets (classify.go, compile.go).
//
// The package does no I/O and reads no clock. The node, wharfctl and the tests
// pass the records in.
package wharfconfig
