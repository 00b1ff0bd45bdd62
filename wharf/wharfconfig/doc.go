// Package wharfconfig decides what configuration is in force.
//
// It goes in four phases, each of which uses only the one before: documents
// are read from YAML (document.go, parse.go), checked (validate.go), folded
// from changes into an immutable Snapshot (change.go, snapshot.go), and used
// to classify requests and targets (classify.go).
//
// It is pure: the node, wharfctl and the tests hand it records and get values.
package wharfconfig
