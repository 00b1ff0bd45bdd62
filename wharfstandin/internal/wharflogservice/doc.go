// Package wharflogservice implements a stand-in for the platform's append-only
// log, with faults that tests inject over HTTP.
package wharflogservice
