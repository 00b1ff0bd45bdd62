// Package wharflog provides access to the platform's append-only log: an HTTP
// client, and a log in memory for tests and the stand-in.
//
// It does I/O, so decision packages import only wharfstream. The node and
// wharfctl use the client through small interfaces that they declare.
package wharflog
