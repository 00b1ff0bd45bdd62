// Package wharfstream defines the records of the platform's append-only log
// and the errors that its clients report.
//
// It does no I/O and reads no clock. wharflog implements the client; wharfstate
// applies the records.
package wharfstream
