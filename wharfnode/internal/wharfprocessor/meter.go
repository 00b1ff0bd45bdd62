package wharfprocessor

import (
	"runtime"
	"sync"
	"time"

	"ragwortwharf.dev/wharf/wharfadmission"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

// Meter measures how long requests wait for the processor. The zero Meter is ready to
// use. It is safe for concurrent use once its exported fields are set.
type Meter struct {
	Log     wharfevents.Log
	Metrics wharfevents.Metrics

	mu    sync.Mutex
	limit wharfadmission.ProcessorLimit
	// shortSince is the time since which the node is short of processor time. It is zero
	// if the node isn't short of it.
	shortSince time.Time
	// longest is the longest mean wait of a window since then.
	longest time.Duration
}

// Yield lets other goroutines run before a request is served, and records how long they
// took.
//
// If a client sends its next request as soon as the last one is refused, the goroutine of
// the connection never waits for the network. A few hundred such connections fill the local
// run queue of a processor, and the scheduler then hardly takes goroutines from the global
// queue, such as those that read the responses of targets. Gosched moves the connection to
// the end of that queue.
func (m *Meter) Yield() {
	ready := time.Now()
	runtime.Gosched()
	now := time.Now()
	wait := now.Sub(ready)
	m.Metrics.ProcessorWait(wait)
	m.observe(now, wait)
}

// RecordCall records a call of another node, or of this one, that has arrived.
func (m *Meter) RecordCall() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit.RecordCall()
}

// RecordRefusal records that a call was refused on its arrival, which takes less of the processor
// than to serve it.
func (m *Meter) RecordRefusal() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit.RecordRefusal()
}

// Load returns what the processor can carry.
func (m *Meter) Load() wharfadmission.ProcessorLoad {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.limit.Load(time.Now())
}

func (m *Meter) observe(now time.Time, wait time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.limit.Observe(now, wait) {
		return
	}
	delay := m.limit.Delay()
	switch short := delay.Short(now); {
	case short && m.shortSince.IsZero():
		m.shortSince, m.longest = now, delay.Mean(now)
		m.Log.Emit(wharfevents.ProcessorShort,
			wharfevents.Field{Name: "wait-ms", Value: m.longest.Milliseconds()},
			wharfevents.Field{Name: "calls-per-second", Value: int(m.limit.Load(now).PerSecond)})
	case short:
		m.longest = max(m.longest, delay.Mean(now))
	case !m.shortSince.IsZero():
		m.Log.Emit(wharfevents.ProcessorSufficient,
			wharfevents.Field{Name: "short-ms", Value: now.Sub(m.shortSince).Milliseconds()},
			wharfevents.Field{Name: "longest-wait-ms", Value: m.longest.Milliseconds()})
		m.shortSince = time.Time{}
	}
}
