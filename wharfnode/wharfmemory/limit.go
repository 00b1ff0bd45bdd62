package wharfmemory

import "runtime/debug"

// runtimePercent is the share of a process's memory that the Go runtime may use, in percent. The rest is
// for what the runtime doesn't count: the program, the C library, and the bytes in the
// socket buffers of the kernel. It also covers the growth of the heap during a collection.
const runtimePercent = 70

// SetLimit sets the soft memory limit of the runtime for a process that may use a number of
// bytes, and returns it. It does nothing and returns zero if the number isn't positive,
// which means that the process has no limit.
func SetLimit(available int64) int64 {
	if available <= 0 {
		return 0
	}
	limit := available / 100 * runtimePercent
	debug.SetMemoryLimit(limit)
	return limit
}
