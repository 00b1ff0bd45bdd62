// Package wharfselector parses and evaluates label selectors in the usual
// syntax, such as "tier=core,method in (GET,HEAD),!batch".
//
// It wraps the Kubernetes label library, so that the other packages depend only on
// one small type. wharfconfig compiles the selectors of its rules with this package.
//
// The package does no I/O and reads no clock.
package wharfselector
