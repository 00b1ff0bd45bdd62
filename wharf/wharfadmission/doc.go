// Package wharfadmission decides for each request to a target whether the
// request runs, waits or is refused.
//
// A Limiter estimates how many requests a target can run at once. A Gate keeps
// the running and the queued requests, orders the queue, and sheds the least
// important requests first. A Level is the admission level of a target: a
// threshold on class and user request, so that a user request gets the same
// decision at every hop. Senders apply the level of a target before any work is
// done for a request.
//
// The package does no I/O, reads no clock and starts no goroutines. The target
// side of the node calls it under a lock and carries out the Effects that it
// returns.
package wharfadmission
