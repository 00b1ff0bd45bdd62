// Package wharfstream defines the records of the platform's append-only log
// and the errors that its clients report.
//
// The log is a service that stores streams of records in the order in which they
// are appended. The offset of a record is its position in its stream.
//
// The package does no I/O and reads no clock. wharflog implements the client;
// wharfstate applies the records.
package wharfstream
