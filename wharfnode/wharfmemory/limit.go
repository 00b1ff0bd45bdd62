package wharfmemory

import "runtime/debug"

// SetLimit sets the soft memory limit of the runtime for a process that may use a number of
// bytes, and returns it. The runtime may use the given percentage of them; the rest is for
// what it doesn't count: the program, the C library, and the bytes in the socket buffers of
// the kernel. SetLimit does nothing and returns zero if the number of bytes isn't positive,
// which means that the process has no limit.
func SetLimit(available, runtimePercent int64) int64 {
	limit := Limit(available, runtimePercent)
	if limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	return limit
}

// Limit returns the limit that SetLimit sets, zero for none.
func Limit(available, runtimePercent int64) int64 {
	return max(available, 0) / 100 * runtimePercent
}
