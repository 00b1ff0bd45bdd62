// Package wharflog provides access to the platform's append-only log: an HTTP
// client, and a log in memory for tests and for the program that stands in for the
// log service.
//
// It does I/O, so packages that only compute decisions import wharfstream instead,
// which defines the records and errors. The node and wharfctl use the client
// through small interfaces that they declare.
package wharflog
