package wharfmemory

import (
	"context"
	"sync"
	"time"

	"ragwortwharf.dev/wharfnode/wharfevents"
)

const (
	// interval is the time between two readings. A surge of requests fills the memory
	// within a second.
	interval = 250 * time.Millisecond
	// eventInterval is the shortest time between two events.
	eventInterval = time.Second
)

// Monitor says in the log when memory is short, and what fills it, so that the reason is
// known if the process ends. Its exported fields are set before Run.
type Monitor struct {
	Log wharfevents.Log
	// Read returns the memory in use.
	Read func() Usage
	// Holders returns fields with the bytes by holder.
	Holders func() []wharfevents.Field

	mu             sync.Mutex
	last           Usage
	collectorShare float64
	// shortSince is zero if memory isn't short, and emitted is the time of the last event.
	shortSince, emitted time.Time
	// highest is the most that was mapped since then.
	highest int64
}

// Run monitors the memory until the context ends.
func (m *Monitor) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			m.observe(now, m.Read())
		}
	}
}

// CollectorShare returns the share of the processor that the collector took lately.
func (m *Monitor) CollectorShare() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.collectorShare
}

func (m *Monitor) observe(now time.Time, u Usage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if u.processorSeconds > m.last.processorSeconds {
		m.collectorShare = u.CollectorShare(m.last)
		m.last = u
	}
	switch short := u.Short(); {
	case short:
		if m.shortSince.IsZero() {
			m.shortSince, m.highest = now, 0
		}
		m.highest = max(m.highest, u.Mapped)
		if now.Sub(m.emitted) >= eventInterval {
			m.emitted = now
			m.Log.Emit(wharfevents.MemoryShort, m.fields(u)...)
		}
	case !m.shortSince.IsZero() && now.Sub(m.emitted) >= eventInterval:
		m.Log.Emit(wharfevents.MemorySufficient, append(m.fields(u),
			wharfevents.Field{Name: "short-ms", Value: now.Sub(m.shortSince).Milliseconds()},
			wharfevents.Field{Name: "highest-mapped-bytes", Value: m.highest})...)
		m.shortSince, m.emitted = time.Time{}, now
	}
}

// fields returns the fields of an event.
func (m *Monitor) fields(u Usage) []wharfevents.Field {
	return append([]wharfevents.Field{
		{Name: "limit-bytes", Value: u.Limit},
		{Name: "mapped-bytes", Value: u.Mapped},
		{Name: "live-bytes", Value: u.Live},
		{Name: "stack-bytes", Value: u.Stacks},
		{Name: "collector-share", Value: m.collectorShare},
	}, m.Holders()...)
}
