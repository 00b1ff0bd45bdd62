// Package wharfquota decides how the quotas of client accounts are divided among nodes.
//
// Accounts are hashed to a fixed number of shards. A group of nodes leases the shards from a
// service outside; the node that holds the lease of a shard may be its allocator. The allocator
// keeps a token bucket for each account of the shard and grants tokens to the nodes, which take
// one token for each request. Tokens expire TokenTTL after they were requested.
//
// At any time at most one node has the authority to allocate a shard. A node that gains the lease
// gets the authority from the node that had it, with the levels of the buckets, or once the
// authority of any earlier holder must have lapsed. In the second case the buckets are empty, and
// until then the node grants a small reserve from what the rule allows beyond the quota.
//
// A node that reaches no allocator goes on within its allowances: rates that an allocator has given
// it with earlier grants. The bucket of an account is charged with the allowances of nodes that may
// be using them.
//
// An Allocator holds the shards of one node, and a Client the tokens of one node. Both are safe
// for concurrent use, each shard under its own lock.
package wharfquota
