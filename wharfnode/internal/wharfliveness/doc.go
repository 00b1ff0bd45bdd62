// Package wharfliveness detects that the server behind an address is unresponsive.
//
// A process that is cut off from the network, or whose VM lost power, closes no
// connection, so calls to it would wait until their deadlines. A Monitor notices
// that calls get no responses and probes the server with new connections. If the
// probes fail, the Monitor cancels the calls in flight, so that their senders
// learn of the failure at once. Senders ask Unresponsive and send no call until
// the server accepts connections again.
package wharfliveness
