// Package wharflog holds the clients of the platform's append-only log: the
// HTTP adapter, and a log in memory that tests and the stand-in build on.
//
// It does I/O, so decision packages know only wharfstream. The node and
// wharfctl use the adapter through small interfaces of their own.
package wharflog
