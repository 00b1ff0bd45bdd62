// Package wharfrandom creates the random number generators of a node. Packages without
// I/O, such as wharfrouting, take a generator as an argument.
package wharfrandom
