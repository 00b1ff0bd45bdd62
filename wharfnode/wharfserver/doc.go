// Package wharfserver assembles a node: it creates the components, listens on
// their addresses, and stops them in an order that doesn't abort requests in
// flight.
//
// A node has three servers:
//
//   - The caller server receives the requests of callers. Package wharfproxy
//     picks a target for each request and sends the request as a call to the
//     target's node.
//   - The peer server receives the calls of other nodes, which package
//     wharftarget serves, and their gRPC requests.
//   - The admin server receives the announcements of targets, and serves the
//     status and the metrics of the node (package wharfadmin).
//
// Package wharfcluster follows the log and exchanges state with the other nodes
// by gossip. The log holds the configuration and the ownership records. From
// these records each node computes which node owns an idempotency key. Only the
// owner may run requests with the key, so that they take effect at most once
// (package wharfidempotency). The tests call a request that must take effect at
// most once a booking.
package wharfserver
