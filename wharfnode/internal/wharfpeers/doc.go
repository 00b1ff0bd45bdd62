// Package wharfpeers keeps the connections of a node to other nodes for what
// isn't a call: exchanges, questions about keys and suspicions. Calls go over
// package wharftransport.
package wharfpeers
