// Package wharfpeers holds the gRPC connections of a node to other nodes for all
// RPCs except calls: gossip exchanges, consultations about keys, hand-over of key
// records and quarantine suspicions. Calls use package wharftransport.
package wharfpeers
