// Package wharfstate folds the platform's log into the one state that every
// node agrees on: the configuration, the routes and the ownership of keys, at an offset.
//
// It sits above wharfconfig, wharfroute and wharfidempotency and knows the form of a record in
// the log (envelope.go). It is pure; the node's log reader and its exchange
// with neighbours feed it records, in any windows and repeats.
package wharfstate
