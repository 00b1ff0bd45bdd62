// Package wharfprotocol is how a node speaks with callers and targets: which
// headers say what, and how an outcome is written. The decisions of the node
// know none of it.
//
// Native is the project's own dialect. Where callers and targets speak another
// one, the program that composes the node brings it.
package wharfprotocol
