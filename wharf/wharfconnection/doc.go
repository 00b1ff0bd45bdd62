// Package wharfconnection decides how many connections of other nodes a node holds, and after
// which responses it closes one.
//
// The package does no I/O and reads no clock.
package wharfconnection
