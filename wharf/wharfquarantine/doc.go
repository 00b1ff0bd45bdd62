// Package wharfquarantine decides which requests are refused because they
// crash the targets that run them.
//
// A node records each crash of its target with the fingerprints of the requests
// that were in flight. A fingerprint that was in flight during one crash is
// suspected; after a second crash it is quarantined. A suspected fingerprint is
// cleared when a request with it completes without a crash, because such a request
// was only in flight by coincidence. Every entry expires. Nodes exchange their
// entries.
//
// The package does no I/O and reads no clock. The node passes in times and events.
package wharfquarantine
