package wharfevents

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ragwortwharf.dev/wharf/wharfoutcome"
)

// Metrics counts what a node does. The zero Metrics counts nothing.
type Metrics struct {
	set *metrics.Set
}

// NewMetrics returns metrics with a separate set, so that several nodes in one
// test process don't share counters.
func NewMetrics() Metrics {
	return Metrics{set: metrics.NewSet()}
}

// WritePrometheus writes all metrics and those of the process in the Prometheus
// text format.
func (m Metrics) WritePrometheus(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// Call counts a request that ended at the proxy of the sending node, however many
// attempts it took, and records its duration. The name of the metric calls such a
// request a call.
func (m Metrics) Call(class string, o wharfoutcome.Outcome, elapsed time.Duration) {
	if m.set == nil {
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("wharf_calls_total{class=%q,outcome=%q,reason=%q}", class, o.Kind, o.Reason)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("wharf_call_seconds{class=%q}", class)).Update(elapsed.Seconds())
}

// Attempt counts an attempt that the proxy sent to a target's node.
func (m Metrics) Attempt(retry bool) {
	if m.set == nil {
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("wharf_attempts_total{retry=%q}", fmt.Sprint(retry))).Inc()
}

// Dispatch counts a call that ended at the target's node, whether or not the node
// dispatched it to the target.
func (m Metrics) Dispatch(class string, o wharfoutcome.Outcome) {
	if m.set == nil {
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("wharf_dispatches_total{class=%q,outcome=%q,reason=%q}", class, o.Kind, o.Reason)).Inc()
}

// ControlBytes counts the bytes sent or received in the exchanges that this node
// started.
func (m Metrics) ControlBytes(direction string, bytes int) {
	if m.set == nil {
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("wharf_control_bytes_total{direction=%q}", direction)).Add(bytes)
}

// LogAppend counts an append to a stream of the platform's log, by its result.
func (m Metrics) LogAppend(stream, result string) {
	if m.set == nil {
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("wharf_log_appends_total{stream=%q,result=%q}", stream, result)).Inc()
}

// Gauge registers a gauge whose value is read each time the metrics are written.
func (m Metrics) Gauge(name string, read func() float64) {
	if m.set == nil {
		return
	}
	m.set.GetOrCreateGauge(name, read)
}
