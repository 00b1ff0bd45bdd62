// Package wharftest provides helpers that the tests of several packages share.
// Programs must not import it.
package wharftest
