// Package wharfpropagation measures how long a change of configuration takes from
// the log to every node.
package wharfpropagation
