// Package wharfserver puts a node together: it makes the parts, listens on
// their addresses, and stops them in the order that cuts off no request.
package wharfserver
