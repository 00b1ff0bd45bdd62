package wharfload

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// recoveryStep is the resolution of the recovery time.
	recoveryStep = 100 * time.Millisecond
	// recoveryWindow is the length of the window in which the goodput must have
	// recovered.
	recoveryWindow = time.Second
	// recoveredShare is the share of the goodput before the disruption at which
	// the goodput counts as recovered.
	recoveredShare = 0.95
	// settlingTime is left out of the goodput after the start of the run, after
	// the start of the disruption and after its end.
	settlingTime = time.Second

	// maxLatency is the largest latency that the histogram records.
	maxLatency = time.Minute
	// latencyDigits is the number of significant digits of the histogram.
	latencyDigits = 3
)

// Report holds the results of a run from the callers' point of view.
type Report struct {
	Name    string        `json:"name"`
	Classes []ClassReport `json:"classes"`
	Total   ClassReport   `json:"total"`
	// AttemptsPerRequest is the number of requests that arrived at the counted
	// targets, divided by the number of user requests.
	AttemptsPerRequest float64 `json:"attempts-per-request"`
	// SendsPerRequest is how often the callers sent a user request on average.
	SendsPerRequest float64 `json:"sends-per-request"`
	// RecoverySeconds is the time from the end of the disruption until the
	// goodput has recovered. It is negative if the goodput didn't recover within
	// the run, and nil if the run has no disruption.
	RecoverySeconds *float64 `json:"recovery-seconds,omitempty"`
	// CapacityShare is the goodput during the disruption, divided by
	// Disruption.Capacity. It is nil if that is 0.
	CapacityShare *float64 `json:"capacity-share,omitempty"`
	// ForeignResponses counts the responses with status 200 that were read to
	// their end but aren't a complete response to the caller's request.
	// The JSON name stays for existing readers of reports.
	ForeignResponses int `json:"foreign-answers"`
	// Dropped counts the user requests that weren't sent because maxCallers user
	// requests were already in flight.
	Dropped int `json:"dropped-by-generator"`
	// Reasons counts the failed user requests by reason, most frequent first.
	Reasons []ReasonCount `json:"failures-by-reason"`
}

// ReasonCount is the number of failed user requests with one reason.
type ReasonCount struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

// ClassReport holds the results for the user requests of one class, or of all
// classes.
type ClassReport struct {
	Class     string `json:"class"`
	Requests  int    `json:"requests"`
	Succeeded int    `json:"succeeded"`
	// Before, During and After are the goodput before, during and after the
	// disruption, in complete responses per second.
	Before float64 `json:"goodput-before"`
	During float64 `json:"goodput-during"`
	After  float64 `json:"goodput-after"`
	// OfferedDuring is the rate of user requests during the disruption, per
	// second.
	OfferedDuring float64 `json:"offered-during"`
	// P50 and P99 are percentiles of the latency of the user requests that
	// succeeded, in milliseconds.
	P50 float64 `json:"p50-ms"`
	P99 float64 `json:"p99-ms"`
}

// span is a part of the run, as times since its start.
type span struct {
	from, to time.Duration
}

func (s span) contains(at time.Duration) bool {
	return at >= s.from && at < s.to
}

// rate returns n per second of the span, or 0 if the span is empty.
func (s span) rate(n int) float64 {
	if s.to <= s.from {
		return 0
	}
	return float64(n) / (s.to - s.from).Seconds()
}

// spans returns the parts of the run before, during and after the disruption,
// without the settling times.
func (g *generator) spans() (before, during, after span) {
	d := g.plan.Disruption
	if d.For == 0 {
		return span{settlingTime, g.plan.Duration}, span{}, span{}
	}
	end := d.At + d.For
	return span{settlingTime, d.At}, span{d.At + settlingTime, end}, span{end + settlingTime, g.plan.Duration}
}

// report evaluates the results; arrivals is the number of requests that the
// counted targets received.
func (g *generator) report(arrivals int64) Report {
	r := Report{Name: g.plan.Name, Dropped: g.dropped}
	for i, c := range g.plan.Classes {
		r.Classes = append(r.Classes, g.classReport(c.Name, func(x result) bool { return x.class == i }))
	}
	r.Total = g.classReport("all", func(result) bool { return true })
	sends := 0
	for _, x := range g.results {
		sends += x.sends
		r.ForeignResponses += x.foreign
		if !x.ok {
			r.count(x.reason)
		}
	}
	slices.SortFunc(r.Reasons, func(a, b ReasonCount) int { return cmp.Compare(b.Count, a.Count) })
	n := float64(max(len(g.results), 1))
	r.SendsPerRequest = float64(sends) / n
	r.AttemptsPerRequest = float64(arrivals) / n
	if g.plan.Disruption.For > 0 {
		seconds := g.recovery(r.Total.Before)
		r.RecoverySeconds = &seconds
	}
	if g.plan.Disruption.Capacity > 0 {
		share := r.Total.During / g.plan.Disruption.Capacity
		r.CapacityShare = &share
	}
	return r
}

// count adds one failed user request to the count of its reason.
func (r *Report) count(reason string) {
	for i := range r.Reasons {
		if r.Reasons[i].Name == reason {
			r.Reasons[i].Count++
			return
		}
	}
	r.Reasons = append(r.Reasons, ReasonCount{reason, 1})
}

// classReport evaluates the results for which belongs returns true.
func (g *generator) classReport(name string, belongs func(result) bool) ClassReport {
	r := ClassReport{Class: name}
	before, during, after := g.spans()
	latencies := hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
	// ended counts the successful requests that ended before, during and after
	// the disruption.
	var ended [3]int
	offered := 0
	for _, x := range g.results {
		if !belongs(x) {
			continue
		}
		r.Requests++
		if during.contains(x.started) {
			offered++
		}
		if !x.ok {
			continue
		}
		r.Succeeded++
		for i, s := range []span{before, during, after} {
			if s.contains(x.ended) {
				ended[i]++
			}
		}
		// A latency above maxLatency is recorded as maxLatency.
		_ = latencies.RecordValue(min((x.ended - x.started).Microseconds(), maxLatency.Microseconds()))
	}
	r.Before, r.During, r.After = before.rate(ended[0]), during.rate(ended[1]), after.rate(ended[2])
	r.OfferedDuring = during.rate(offered)
	r.P50 = float64(latencies.ValueAtQuantile(50)) / 1000
	r.P99 = float64(latencies.ValueAtQuantile(99)) / 1000
	return r
}

// recovery returns the seconds from the end of the disruption to the start of
// the first window in which the goodput has recovered, or -1 if the run has no
// such window. The parameter before is the goodput before the disruption.
func (g *generator) recovery(before float64) float64 {
	end := g.plan.Disruption.At + g.plan.Disruption.For
	for at := end; at+recoveryWindow <= g.plan.Duration; at += recoveryStep {
		window := span{at, at + recoveryWindow}
		n := 0
		for _, x := range g.results {
			if x.ok && window.contains(x.ended) {
				n++
			}
		}
		if window.rate(n) >= recoveredShare*before {
			return (at - end).Seconds()
		}
	}
	return -1
}

// WriteTable writes the report as text. The printed names stay for existing
// readers of reports: before/s, during/s and after/s are the goodput before,
// during and after the disruption, offered/s is OfferedDuring, "foreign answers"
// are ForeignResponses, "the trouble" is the disruption, and "the capacity left"
// is Disruption.Capacity.
func (r Report) WriteTable(w io.Writer) {
	_, _ = fmt.Fprintf(w, "== %s\n", r.Name)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "class\trequests\tsucceeded\tbefore/s\tduring/s\toffered/s\tafter/s\tp50 ms\tp99 ms\t")
	for _, c := range append(slices.Clone(r.Classes), r.Total) {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n",
			c.Class, c.Requests, c.Succeeded, c.Before, c.During, c.OfferedDuring, c.After, c.P50, c.P99)
	}
	_ = t.Flush()
	_, _ = fmt.Fprintf(w, "attempts per request %.2f, sends per request %.2f, foreign answers %d, dropped by generator %d\n",
		r.AttemptsPerRequest, r.SendsPerRequest, r.ForeignResponses, r.Dropped)
	if r.RecoverySeconds != nil {
		_, _ = fmt.Fprintf(w, "recovery %.1f s (negative: not within the run)\n", *r.RecoverySeconds)
	}
	if r.CapacityShare != nil {
		_, _ = fmt.Fprintf(w, "goodput during the trouble %.0f%% of the capacity left\n", 100**r.CapacityShare)
	}
	for _, c := range r.Reasons {
		_, _ = fmt.Fprintf(w, "  failed for %s: %d\n", c.Name, c.Count)
	}
}

// WriteJSON writes the report to a file as JSON.
func (r Report) WriteJSON(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o600)
}
