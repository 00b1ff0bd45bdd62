// Package wharfpurity holds the test that decision packages do no I/O, read no
// clock and start no goroutine.
package wharfpurity
