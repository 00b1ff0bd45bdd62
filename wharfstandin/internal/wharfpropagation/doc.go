// Package wharfpropagation measures how long a configuration change takes from
// the log to every node.
package wharfpropagation
