// Package wharfsocket sets socket options so that an unresponsive peer is
// detected within seconds.
package wharfsocket
