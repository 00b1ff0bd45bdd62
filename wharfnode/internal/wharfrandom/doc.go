// Package wharfrandom creates the random number generators of a node. The decision
// packages take their generator as an argument.
package wharfrandom
