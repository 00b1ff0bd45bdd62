// Package wharfclock has a clock for leases, which also counts the time for which the VM was
// suspended.
package wharfclock
