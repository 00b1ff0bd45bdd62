// Package wharfoutcome defines what a caller is told about a request.
//
// It is the lowest package of the module: every other decision package
// returns its values, and the node maps them to HTTP and gRPC.
package wharfoutcome
