// Package wharfmemnet is a network in memory for tests. It replaces the network of the
// operating system in a process, so that tests of whole nodes can run in a bubble of
// testing/synctest, in which time passes only while all goroutines wait.
package wharfmemnet
