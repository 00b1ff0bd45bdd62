// Package wharfevents is the catalogue of what a node logs and counts.
//
// Each log line is a numbered event of the catalogue, which docs/EVENTS.md
// explains to operators; a test holds the two together. Metrics have one
// place too, so that docs/METRICS.md can list them.
package wharfevents
