// Package wharfadmission decides for each request to a target whether the
// request runs, waits or is refused.
//
// A target announces its slots, the largest number of requests that it runs at
// once. A Limiter estimates how many it can run at present without slowing down. A
// Gate keeps the running and the queued requests of one target, each described by
// a Ticket. It orders the queue and sheds the least important requests first.
//
// Each request has a class, and each class has a rank: zero is the most important
// rank. A user request is the request at the start of a call chain; all calls that
// are made to serve it carry its request ID. The Priority of a request combines the
// rank with a hash of this ID. A Level is the admission level of a target, a
// threshold on Priority: a request is refused if its Priority is a larger number.
// All calls of one user request and class have the same Priority, so every hop with
// the same level decides alike. LevelOpen is the level that admits every request.
// Senders apply the level of a target before any work is done for a request.
//
// The package does no I/O and reads no clock. The target side of the node calls
// it under a lock and carries out the Effects that it returns.
package wharfadmission
