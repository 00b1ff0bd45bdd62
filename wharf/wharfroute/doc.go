// Package wharfroute maps the host and path of a request to a route and its
// services.
//
// Routes are published as complete sets with increasing versions. A Table is the
// index of one set. A Table is immutable, so a request uses one version of the
// routes from its start to its end.
//
// The package does no I/O and reads no clock.
package wharfroute
