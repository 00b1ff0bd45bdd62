// Package wharfprocess tests the programs as separate processes: it kills,
// stops, continues and restarts them, and counts what took effect.
//
// It holds tests only. They need the programs that make build puts into bin.
package wharfprocess
