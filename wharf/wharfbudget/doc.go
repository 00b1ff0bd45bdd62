// Package wharfbudget bounds the attempts of one user request over its whole
// call chain, and the share of retries in the traffic of one node.
//
// A Grant is the number of attempts that one hop may spend on itself and on
// everything below it. Each attempt costs one and hands a part of the rest
// down; what was not used comes back with the answer. A lost answer returns
// nothing, so the sum of all attempts never exceeds the grant of the root.
// The node keeps grants in a Ledger and asks it before each attempt.
package wharfbudget
