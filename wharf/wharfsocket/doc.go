// Package wharfsocket sets the options of sockets, so that a peer that went
// silent is noticed in seconds.
package wharfsocket
