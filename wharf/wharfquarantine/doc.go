// Package wharfquarantine decides which requests are refused because they
// crash the targets that run them.
//
// The target side of a node reports a crash with the fingerprints that were
// in flight. A fingerprint that was in flight in the crashes of two targets is
// quarantined. Requests that merely stood beside it are cleared when they
// succeed, and every entry expires. Nodes exchange their entries.
//
// The package is pure; times and events come from the node.
package wharfquarantine
