// Package wharfmemory sets the memory limit of the Go runtime of a node, so that the
// garbage collector runs more often before the process exceeds the memory of its VM.
package wharfmemory
