// Package wharfpeers holds the gRPC connections of a node to other nodes for all
// RPCs except calls: gossip exchanges, queries for the entry of an idempotency key,
// hand-over of key entries, and quarantine suspicions. Calls use package
// wharftransport.
package wharfpeers
