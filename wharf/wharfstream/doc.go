// Package wharfstream defines the records of the platform's append-only log
// and the errors that its clients report.
//
// It is pure. wharflog implements the clients; wharfconfig, wharfidempotency and
// wharfstate fold the records.
package wharfstream
