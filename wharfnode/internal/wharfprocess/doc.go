// Package wharfprocess tests the programs as separate processes: it kills,
// freezes (SIGSTOP), stops (SIGTERM) and restarts them, and counts the effects of
// requests at the targets.
//
// The package contains only tests. They need the programs that "make build"
// writes to bin.
package wharfprocess
