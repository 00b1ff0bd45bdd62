package wharfmember

import (
	"slices"
	"time"
)

const (
	// reporterQuorum is how many nodes must accuse one before it is down.
	reporterQuorum = 2
	// reportTTL is how long an accusation counts.
	reportTTL = 5 * time.Second
	// failuresToReport is how many exchanges in a row must fail.
	failuresToReport = 3
)

// FailureReport says that a reporter can't reach a node.
type FailureReport struct {
	Subject     string
	Incarnation uint64
	Reporter    string
}

// FailureDetector decides which nodes are down. It isn't safe for concurrent use.
// The zero FailureDetector accuses nobody.
type FailureDetector struct {
	failures []failureCount
	reports  []receivedReport
}

type failureCount struct {
	node  string
	count int
}

type receivedReport struct {
	FailureReport
	at time.Time
}

// RecordExchange records whether an exchange with a node succeeded. It returns
// true when the node is to be accused.
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

// AddReport takes an accusation, own or heard, and returns whether enough
// reporters agree that the subject is down. Where fewer watch it, all must.
func (d *FailureDetector) AddReport(now time.Time, a FailureReport, watchers int) bool {
	d.reports = slices.DeleteFunc(d.reports, func(h receivedReport) bool {
		return now.Sub(h.at) >= reportTTL || h.FailureReport == a
	})
	d.reports = append(d.reports, receivedReport{a, now})
	reporters := 0
	for _, h := range d.reports {
		if h.Subject == a.Subject && h.Incarnation == a.Incarnation {
			reporters++
		}
	}
	return reporters >= min(reporterQuorum, max(watchers, 1))
}

// ActiveReports returns the accusations that still count, to be passed on.
func (d *FailureDetector) ActiveReports(now time.Time) []FailureReport {
	var out []FailureReport
	for _, h := range d.reports {
		if now.Sub(h.at) < reportTTL {
			out = append(out, h.FailureReport)
		}
	}
	return out
}
