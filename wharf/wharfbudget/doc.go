// Package wharfbudget bounds the attempts of one user request over its whole
// call chain, the retries of each node (RetryBudget), and the requests of a service
// that reach a target more than once (RepeatCounter).
//
// A user request is the request at the start of a call chain, with all calls that
// are made to serve it.
// A Grant is the number of attempts that one hop may spend on itself and on all
// downstream hops. Each attempt costs one and delegates a part of the remaining
// attempts to the next hop; the response returns those that were not used. A lost
// response returns nothing, so the number of all attempts never exceeds the grant
// of the first hop. The node keeps grants in a Ledger and takes each attempt from
// it.
//
// The package does no I/O and reads no clock.
package wharfbudget
