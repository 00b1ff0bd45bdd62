package wharfevents

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ragwortwharf.dev/wharf/wharfoutcome"
)

// Metrics counts what a node does. The zero Metrics counts nothing.
type Metrics struct {
	set *metrics.Set
	// outcomes, which also holds the counters of quotas, and durations hold the metrics of each request, so that their names
	// aren't formatted for each of them.
	outcomes, durations *sync.Map
	// accounts holds the counters of client accounts by their names.
	accounts *sync.Map
}

// outcomeKey identifies the counter of an outcome.
type outcomeKey struct {
	metric, class string
	kind          wharfoutcome.Kind
	reason        wharfoutcome.Reason
}

// NewMetrics returns metrics with a separate set, so that several nodes in one
// test process don't share counters.
func NewMetrics() Metrics {
	return Metrics{set: metrics.NewSet(), outcomes: new(sync.Map), durations: new(sync.Map), accounts: new(sync.Map)}
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
	m.outcome("wharf_calls_total", class, o).Inc()
	m.duration(class).Update(elapsed.Seconds())
}

func (m Metrics) outcome(metric, class string, o wharfoutcome.Outcome) *metrics.Counter {
	key := outcomeKey{metric, class, o.Kind, o.Reason}
	if counter, ok := m.outcomes.Load(key); ok {
		return counter.(*metrics.Counter)
	}
	counter := m.set.GetOrCreateCounter(fmt.Sprintf(metric+"{class=%q,outcome=%q,reason=%q}", class, o.Kind, o.Reason))
	m.outcomes.Store(key, counter)
	return counter
}

func (m Metrics) duration(class string) *metrics.Histogram {
	if histogram, ok := m.durations.Load(class); ok {
		return histogram.(*metrics.Histogram)
	}
	histogram := m.set.GetOrCreateHistogram(fmt.Sprintf("wharf_call_seconds{class=%q}", class))
	m.durations.Store(class, histogram)
	return histogram
}

// Attempt counts an attempt that the proxy sent to a target's node.
func (m Metrics) Attempt(retry bool) {
	if m.set == nil {
		return
	}
	name := "wharf_attempts_total{retry=\"false\"}"
	if retry {
		name = "wharf_attempts_total{retry=\"true\"}"
	}
	m.set.GetOrCreateCounter(name).Inc()
}

// Dispatch counts a call that ended at the target's node, whether or not the node
// dispatched it to the target.
func (m Metrics) Dispatch(class string, o wharfoutcome.Outcome) {
	if m.set == nil {
		return
	}
	m.outcome("wharf_dispatches_total", class, o).Inc()
}

// TargetCrash counts a crash of the target on this VM.
func (m Metrics) TargetCrash() {
	if m.set == nil {
		return
	}
	m.set.GetOrCreateCounter("wharf_target_crashes_total").Inc()
}

// TargetConnection counts a connection that was opened to the target on this VM.
func (m Metrics) TargetConnection() {
	if m.set == nil {
		return
	}
	m.set.GetOrCreateCounter("wharf_target_connections_total").Inc()
}

// AdmittedShare sets the share of the client requests of a rank that the target on this VM can serve.
func (m Metrics) AdmittedShare(rank int, share float64) {
	if m.set == nil {
		return
	}
	m.set.GetOrCreateGauge(fmt.Sprintf("wharf_admitted_share{rank=\"%d\"}", rank), nil).Set(share)
}

// AccountSlot adds the time for which a call of a client account held a slot of the target on this
// VM. Calls without an account don't count.
func (m Metrics) AccountSlot(account string, held time.Duration) {
	if m.set == nil || account == "" {
		return
	}
	counter, ok := m.accounts.Load(account)
	if !ok {
		name := fmt.Sprintf("wharf_account_slot_seconds_total{account=%q}", account)
		counter, _ = m.accounts.LoadOrStore(account, m.set.GetOrCreateFloatCounter(name))
	}
	counter.(*metrics.FloatCounter).Add(held.Seconds())
}

// AccountRejection counts a request of a client account that was rejected for want of room
// downstream. Requests without an account don't count.
func (m Metrics) AccountRejection(account string) {
	if m.set == nil || account == "" {
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("wharf_account_rejections_total{account=%q}", account)).Inc()
}

// TargetRepeat counts a call that was sent to the target on this VM again, after the target
// had refused it.
func (m Metrics) TargetRepeat() {
	if m.set == nil {
		return
	}
	m.set.GetOrCreateCounter("wharf_target_repeats_total").Inc()
}

// ProcessorWait records how long a request has waited for the processor.
func (m Metrics) ProcessorWait(wait time.Duration) {
	if m.set == nil {
		return
	}
	m.set.GetOrCreateHistogram("wharf_processor_wait_seconds").Update(wait.Seconds())
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

// LogRead counts a read of the platform's log.
func (m Metrics) LogRead(ok bool) {
	if m.set == nil {
		return
	}
	name := "wharf_log_reads_total{result=\"ok\"}"
	if !ok {
		name = "wharf_log_reads_total{result=\"failed\"}"
	}
	m.set.GetOrCreateCounter(name).Inc()
}

// QuotaRequest counts a request of a client account with a limited quota, by its result.
func (m Metrics) QuotaRequest(result string) {
	if m.set == nil {
		return
	}
	m.counter(quotaKey{result: result}, "wharf_quota_requests_total{result=%q}", result).Inc()
}

// QuotaRefused counts a request of a client account beyond its quota.
func (m Metrics) QuotaRefused(account string) {
	if m.set == nil {
		return
	}
	m.counter(quotaKey{account: account}, "wharf_quota_refusals_total{account=%q}", account).Inc()
}

// QuotaWait records how long a request has waited for an allocator.
func (m Metrics) QuotaWait(wait time.Duration) {
	if m.set == nil {
		return
	}
	m.set.GetOrCreateHistogram("wharf_quota_wait_seconds").Update(wait.Seconds())
}

// QuotaGrants counts the tokens that this node granted as an allocator, and the demands that it
// didn't grant in full.
func (m Metrics) QuotaGrants(tokens, refused int) {
	if m.set == nil {
		return
	}
	m.set.GetOrCreateCounter("wharf_quota_granted_tokens_total").Add(tokens)
	m.set.GetOrCreateCounter("wharf_quota_refused_demands_total").Add(refused)
}

// QuotaShards counts shards that this node began to allocate, or that it handed over.
func (m Metrics) QuotaShards(change string, shards int) {
	if m.set == nil {
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("wharf_quota_shard_changes_total{change=%q}", change)).Add(shards)
}

// quotaKey identifies a counter of requests of client accounts.
type quotaKey struct {
	result, account string
}

// counter returns the counter with a key, whose name has a label.
func (m Metrics) counter(key quotaKey, format, label string) *metrics.Counter {
	if counter, ok := m.outcomes.Load(key); ok {
		return counter.(*metrics.Counter)
	}
	counter := m.set.GetOrCreateCounter(fmt.Sprintf(format, label))
	m.outcomes.Store(key, counter)
	return counter
}

// Gauge registers a gauge whose value is read each time the metrics are written.
func (m Metrics) Gauge(name string, read func() float64) {
	if m.set == nil {
		return
	}
	m.set.GetOrCreateGauge(name, read)
}
