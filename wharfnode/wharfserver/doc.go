// Package wharfserver assembles a node: it creates the components, listens on
// their addresses, and stops them in an order that doesn't abort requests in
// flight.
package wharfserver
