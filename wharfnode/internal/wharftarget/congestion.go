package wharftarget

import (
	"fmt"
	"strings"
	"time"

	"ragwortwharf.dev/wharf/wharfadmission"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

// congestionInterval is the time between two log lines about the congestion of a target.
const congestionInterval = time.Second

// maxAccountNames bounds the names of accounts that are kept for log lines.
const maxAccountNames = 1024

// congestionReport sums up the calls to a target between two log lines.
type congestionReport struct {
	started time.Time
	// congested is true if the target rejected a share of the client requests.
	congested bool
	// arrivals counts the calls by rank, and busy sums up the running calls that they found.
	arrivals [wharfadmission.LastRank + 1]int
	busy     int
	// refused counts the calls that the gate has refused.
	refused int
}

// record adds a call that has arrived.
func (r *congestionReport) record(now time.Time, rank, running int, admitted float64) {
	if r.started.IsZero() {
		r.started = now
	}
	r.arrivals[min(max(rank, 0), wharfadmission.LastRank)]++
	r.busy += running
	r.congested = r.congested || admitted < 1
}

// end begins a new report if the interval has passed. It returns the last one, and whether
// it is to be logged.
func (r *congestionReport) end(now time.Time) (congestionReport, bool) {
	if r.started.IsZero() || now.Sub(r.started) < congestionInterval {
		return congestionReport{}, false
	}
	last := *r
	*r = congestionReport{started: now}
	return last, last.congested
}

// total returns the number of calls that have arrived.
func (r *congestionReport) total() int {
	total := 0
	for _, n := range r.arrivals {
		total += n
	}
	return total
}

// reportCongestion logs what the target rejects, if a log line is due, and sets the metrics. p is what
// the processor of the node can carry.
func (s *Server) reportCongestion(t *target, p wharfadmission.ProcessorLoad) {
	fields, accounts, shares := t.congestionFields(time.Now(), p, s.Backpressure.downstreamShare)
	for rank, share := range shares {
		s.Metrics.AdmittedShare(rank, share)
	}
	if fields != nil {
		s.Log.Emit(wharfevents.TargetCongested, fields...)
	}
	if accounts != "" {
		s.Log.Emit(wharfevents.AccountsLimited,
			wharfevents.Field{Name: "target", Value: t.address},
			wharfevents.Field{Name: "admitted-permille", Value: accounts})
	}
}

// nameAccount keeps the name of the account of a call for log lines; the caller holds the lock.
func (t *target) nameAccount(c *call) {
	if c.account == 0 || len(t.accountNames) >= maxAccountNames {
		return
	}
	if _, ok := t.accountNames[c.account]; ok {
		return
	}
	if t.accountNames == nil {
		t.accountNames = map[uint32]string{}
	}
	t.accountNames[c.account] = c.head.GetAccount()
}

// accountShares returns the listed accounts with ranks and admitted shares; the caller holds the lock.
func (t *target) accountShares() string {
	var b strings.Builder
	for _, s := range t.shares.Accounts() {
		fmt.Fprintf(&b, "%s:%d:%.0f ", t.accountNames[s.Account()], s.Rank(), 1000*s.Admitted())
	}
	return strings.TrimSpace(b.String())
}

// congestionFields returns the fields of the log line about the congestion of the target, if
// one is due. It also returns the accounts that get less than they ask for, and the admitted shares of
// the ranks whose calls have arrived, once a second.
func (t *target) congestionFields(now time.Time, p wharfadmission.ProcessorLoad, downstream func(rank int) float64) (
	fields []wharfevents.Field, accounts string, shares map[int]float64,
) {
	t.mu.Lock()
	defer t.mu.Unlock()
	report, due := t.congestion.end(now)
	if report.started.IsZero() {
		return nil, "", nil
	}
	shares = map[int]float64{}
	for rank, n := range report.arrivals {
		if n > 0 {
			shares[rank] = t.shares.Admitted(rank)
		}
	}
	if !due {
		return nil, "", shares
	}
	load, total := t.gate.Load(), report.total()
	var arrivals, rejected, below strings.Builder
	for rank, n := range report.arrivals {
		if n > 0 {
			fmt.Fprintf(&arrivals, "%d:%d ", rank, n)
			fmt.Fprintf(&rejected, "%d:%.0f ", rank, 1000*(1-t.shares.Admitted(rank)))
			fmt.Fprintf(&below, "%d:%.0f ", rank, 1000*(1-downstream(rank)))
		}
	}
	return []wharfevents.Field{
		{Name: "target", Value: t.address},
		{Name: "span-ms", Value: now.Sub(report.started).Milliseconds()},
		{Name: "arrivals", Value: strings.TrimSpace(arrivals.String())},
		{Name: "refused", Value: report.refused},
		{Name: "mean-running", Value: report.busy / max(total, 1)},
		{Name: "queued", Value: load.Queued},
		{Name: "limit", Value: load.Limit},
		{Name: "capacity-per-second", Value: int(t.gate.CapacityPerSecond())},
		{Name: "processor-per-second", Value: int(p.PerSecond)},
		{Name: "rejected-permille", Value: strings.TrimSpace(rejected.String())},
		{Name: "rejected-below-permille", Value: strings.TrimSpace(below.String())},
	}, t.accountShares(), shares
}
