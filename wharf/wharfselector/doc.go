// Package wharfselector parses and evaluates label selectors in the usual
// syntax, such as "tier=core,method in (GET,HEAD),!batch".
//
// It wraps the Kubernetes label library, so that the other packages depend on
// one small type. wharfconfig compiles its rules with it.
package wharfselector
