// Package wharfallocator carries out the decisions of package wharfquota: it takes the requests of
// client accounts from their quotas, requests tokens of the allocators of other nodes, and joins
// the group of nodes that lease the shards.
package wharfallocator
