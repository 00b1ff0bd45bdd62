package wharfmember

import (
	"slices"
	"time"
)

const (
	// reporterQuorum is the number of nodes that must report a node before it
	// is down.
	reporterQuorum = 2
	// reportTTL is how long a failure report is valid.
	reportTTL = 5 * time.Second
	// failuresToReport is the number of consecutive exchanges with a node that
	// must fail before the node is reported.
	failuresToReport = 3
)

// FailureReport is the report of one node, the reporter, that it can't reach
// another node, the subject.
type FailureReport struct {
	Subject     string
	Incarnation uint64
	Reporter    string
}

// FailureDetector counts failed exchanges and decides from failure reports which
// nodes are down. It isn't safe for concurrent use. The zero FailureDetector has no
// failures and no reports.
type FailureDetector struct {
	failures []failureCount
	reports  []receivedReport
}

// failureCount is the number of consecutive failed exchanges with a node.
type failureCount struct {
	node  string
	count int
}

// receivedReport is a failure report and the time of its arrival.
type receivedReport struct {
	FailureReport
	at time.Time
}

// RecordExchange records whether an exchange with a node succeeded. It reports
// whether the node must now be reported as failed.
func (d *FailureDetector) RecordExchange(node string, ok bool) bool {
	i := slices.IndexFunc(d.failures, func(f failureCount) bool { return f.node == node })
	if ok {
		if i >= 0 {
			d.failures = slices.Delete(d.failures, i, i+1)
		}
		return false
	}
	if i < 0 {
		d.failures = append(d.failures, failureCount{node: node})
		i = len(d.failures) - 1
	}
	d.failures[i].count++
	return d.failures[i].count >= failuresToReport
}

// AddReport adds a failure report, made by this node or received from another
// one. It reports whether the subject is down, which needs reports from
// reporterQuorum nodes, or from all monitors of the subject if it has fewer.
func (d *FailureDetector) AddReport(now time.Time, report FailureReport, monitors int) bool {
	d.reports = slices.DeleteFunc(d.reports, func(r receivedReport) bool {
		return now.Sub(r.at) >= reportTTL || r.FailureReport == report
	})
	d.reports = append(d.reports, receivedReport{report, now})
	reporters := 0
	for _, r := range d.reports {
		if r.Subject == report.Subject && r.Incarnation == report.Incarnation {
			reporters++
		}
	}
	return reporters >= min(reporterQuorum, max(monitors, 1))
}

// ActiveReports returns the reports that are still valid, so that the node can
// send them to its gossip peers.
func (d *FailureDetector) ActiveReports(now time.Time) []FailureReport {
	var out []FailureReport
	for _, r := range d.reports {
		if now.Sub(r.at) < reportTTL {
			out = append(out, r.FailureReport)
		}
	}
	return out
}
