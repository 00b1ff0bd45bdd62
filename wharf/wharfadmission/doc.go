// Package wharfadmission decides which requests run on a target, which wait
// and which are refused.
//
// A Limiter says how many requests a target can run at once. A Gate keeps the
// requests that run and wait, orders the queue, and sheds the least important
// work first. A Level is the admission level of a target: a threshold on
// class and user request that gives one user request the same verdict at
// every hop, and that senders apply before any work is spent.
//
// The package is pure: the target side of the node feeds it events under a
// lock of its own and carries out the Effects that it returns.
package wharfadmission
