// Package wharfprocessor lets connections take turns on the processor of a node, and
// measures how long requests wait for it.
package wharfprocessor
