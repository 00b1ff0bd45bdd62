// Package wharfliveness finds out that the other side of calls has fallen silent.
//
// A process that is cut off, or whose VM lost its power, breaks no connection:
// calls to it would wait until their deadlines. A Monitor sees that answers stay
// away and tries a new connection. If none comes about, it ends the calls under
// way, so that their callers learn of it at once, and lets none through until the
// other side takes connections again.
package wharfliveness
