// Package wharfadmin implements the HTTP API of a node for operators and for the
// targets on its VM: target announcements, status, members, configuration, audit,
// explain, quarantine and metrics.
package wharfadmin
