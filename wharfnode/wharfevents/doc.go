// Package wharfevents defines the events that a node logs and the metrics that it
// counts.
//
// Each log line is a numbered event of the catalogue, which docs/EVENTS.md
// explains to operators. A test checks that the page and the catalogue agree. The
// metrics are defined in one place too, so that docs/METRICS.md can list them.
package wharfevents
