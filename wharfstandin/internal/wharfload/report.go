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
	// recoverySlot is the resolution of the recovery time.
	recoverySlot = 100 * time.Millisecond
	// recoveryWindow is how long goodput must be back to count as recovered.
	recoveryWindow = time.Second
	// recoveredShare is the share of the goodput before that counts as back.
	recoveredShare = 0.95
	// settle is left out after the start and around the ends of the trouble.
	settle = time.Second

	maxLatency = time.Minute
	precision  = 3
)

// Report is what the callers saw.
type Report struct {
	Name    string        `json:"name"`
	Classes []ClassReport `json:"classes"`
	Total   ClassReport   `json:"total"`
	// AttemptsPerRequest is arrivals at the counted targets for each user
	// request.
	AttemptsPerRequest float64 `json:"attempts-per-request"`
	// SendsPerRequest is how often callers sent each user request.
	SendsPerRequest float64 `json:"sends-per-request"`
	// RecoverySeconds is the time from the end of the trouble until goodput is
	// back; negative if it never was, absent without trouble.
	RecoverySeconds *float64 `json:"recovery-seconds,omitempty"`
	// CapacityShare is the goodput during the trouble, relative to what the
	// capacity left allows.
	CapacityShare    *float64 `json:"capacity-share,omitempty"`
	ForeignResponses int      `json:"foreign-answers"`
	Dropped          int      `json:"dropped-by-generator"`
	Reasons          []Count  `json:"failures-by-reason"`
}

// Count is a number with its name.
type Count struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

// ClassReport is what the callers of one class saw. Rates are whole answers a
// second, latencies are in milliseconds.
type ClassReport struct {
	Class     string  `json:"class"`
	Requests  int     `json:"requests"`
	Succeeded int     `json:"succeeded"`
	Before    float64 `json:"goodput-before"`
	During    float64 `json:"goodput-during"`
	After     float64 `json:"goodput-after"`
	// OfferedDuring is the rate of requests during the trouble.
	OfferedDuring float64 `json:"offered-during"`
	P50           float64 `json:"p50-ms"`
	P99           float64 `json:"p99-ms"`
}

// span is a part of the run.
type span struct {
	from, to time.Duration
}

func (s span) has(at time.Duration) bool {
	return at >= s.from && at < s.to
}

func (s span) rate(n int) float64 {
	if s.to <= s.from {
		return 0
	}
	return float64(n) / (s.to - s.from).Seconds()
}

// spans divides the run into before, during and after the trouble.
func (g *generator) spans() (before, during, after span) {
	t := g.plan.Disruption
	if t.For == 0 {
		return span{settle, g.plan.Duration}, span{}, span{}
	}
	end := t.At + t.For
	return span{settle, t.At}, span{t.At + settle, end}, span{end + settle, g.plan.Duration}
}

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
	slices.SortFunc(r.Reasons, func(a, b Count) int { return cmp.Compare(b.Count, a.Count) })
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

func (r *Report) count(reason string) {
	for i := range r.Reasons {
		if r.Reasons[i].Name == reason {
			r.Reasons[i].Count++
			return
		}
	}
	r.Reasons = append(r.Reasons, Count{reason, 1})
}

func (g *generator) classReport(name string, belongs func(result) bool) ClassReport {
	r := ClassReport{Class: name}
	before, during, after := g.spans()
	latencies := hdrhistogram.New(1, maxLatency.Microseconds(), precision)
	var ended [3]int
	offered := 0
	for _, x := range g.results {
		if !belongs(x) {
			continue
		}
		r.Requests++
		if during.has(x.started) {
			offered++
		}
		if !x.ok {
			continue
		}
		r.Succeeded++
		for i, s := range []span{before, during, after} {
			if s.has(x.ended) {
				ended[i]++
			}
		}
		// A latency beyond the range is cut to it.
		_ = latencies.RecordValue(min((x.ended - x.started).Microseconds(), maxLatency.Microseconds()))
	}
	r.Before, r.During, r.After = before.rate(ended[0]), during.rate(ended[1]), after.rate(ended[2])
	r.OfferedDuring = during.rate(offered)
	r.P50 = float64(latencies.ValueAtQuantile(50)) / 1000
	r.P99 = float64(latencies.ValueAtQuantile(99)) / 1000
	return r
}

// recovery returns the seconds from the end of the trouble until a window
// begins in which goodput is back.
func (g *generator) recovery(before float64) float64 {
	end := g.plan.Disruption.At + g.plan.Disruption.For
	for at := end; at+recoveryWindow <= g.plan.Duration; at += recoverySlot {
		window := span{at, at + recoveryWindow}
		n := 0
		for _, x := range g.results {
			if x.ok && window.has(x.ended) {
				n++
			}
		}
		if window.rate(n) >= recoveredShare*before {
			return (at - end).Seconds()
		}
	}
	return -1
}

// WriteTable prints the report for people.
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

// WriteJSON writes the report for programs.
func (r Report) WriteJSON(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o600)
}
