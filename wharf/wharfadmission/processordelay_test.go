package wharfadmission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPauseIsNoProcessorDelay guards against a paused process, or an idle one, that counts
// as short of processor time, and against a node that isn't seen to be short of it.
func TestPauseIsNoProcessorDelay(t *testing.T) {
	is := is.New(t)
	const interval = time.Millisecond
	now := time.Unix(1000, 0)
	var d ProcessorDelay
	observe := func(requests int, wait time.Duration) {
		for range requests {
			now = now.Add(interval)
			d.Observe(now, wait)
		}
	}
	observe(500, time.Millisecond)
	is.True(!d.Short(now))
	is.Equal(d.Mean(now), time.Millisecond)
	observe(500, 30*time.Millisecond)
	is.True(d.Short(now))
	now = now.Add(3 * time.Second)
	is.True(!d.Short(now)) // nothing waits
	observe(1, 3*time.Second)
	is.True(!d.Short(now)) // the process was paused
	observe(500, time.Millisecond)
	is.True(!d.Short(now))
}

// TestBurstIsNoProcessorLimit guards against a node that rejects requests although its processor
// has time to spare, because requests that arrive at once wait for each other.
func TestBurstIsNoProcessorLimit(t *testing.T) {
	const (
		interval = 50 * time.Millisecond
		turn     = time.Millisecond
	)
	tests := []struct {
		name  string
		burst int
		short bool
	}{
		{"a third of the time in use", 17, false},
		{"two thirds", 33, false},
		{"all of the time", 60, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var p ProcessorLimit
			arrival, free := time.Unix(1000, 0), time.Unix(1000, 0)
			var now time.Time
			for range 100 {
				arrival = arrival.Add(interval)
				for range tc.burst {
					now = arrival
					if free.After(now) {
						now = free
					}
					p.RecordCall()
					p.Observe(now, now.Sub(arrival))
					free = now.Add(turn)
				}
			}
			is.Equal(p.Delay().Short(now), tc.short)
			is.Equal(p.Load(now).PerSecond > 0, tc.short)
		})
	}
}

// TestLimitOfSlowProcessorIsForgotten guards against a limit from a time when a node was
// slow, or paused, that still rejects requests once the node has recovered.
func TestLimitOfSlowProcessorIsForgotten(t *testing.T) {
	const (
		usual = 1000.0
		// recovery is the time within which all requests are served again.
		recovery = 5 * time.Second
	)
	tests := []struct {
		name  string
		slow  float64
		pause time.Duration
	}{
		{"half", 2, 0},
		{"a tenth", 10, 0},
		{"paused", 2, 3 * time.Second},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			var p ProcessorLimit
			serve := func(span time.Duration, perSecond float64, wait time.Duration) {
				for end := now.Add(span); now.Before(end); {
					now = now.Add(time.Duration(float64(time.Second) / perSecond))
					p.RecordCall()
					p.Observe(now, wait)
				}
			}
			serve(2*time.Second, usual, 0)
			is.Equal(p.Load(now), ProcessorLoad{})
			serve(3*time.Second, usual/tc.slow, 50*time.Millisecond)
			is.True(p.Load(now).PerSecond < 1.1*usual/tc.slow)
			is.True(p.Load(now).Backlog > 0)
			now = now.Add(tc.pause)
			// The nodes upstream let as many calls through as the limit allows.
			for end := now.Add(recovery); now.Before(end); {
				rate := usual
				if limit := p.Load(now).PerSecond; limit > 0 {
					rate = min(limit, usual)
				}
				serve(delayWindow, rate, 0)
			}
			load := p.Load(now)
			is.True(load.PerSecond == 0 || load.PerSecond >= usual)
			is.Equal(load.Backlog, 0.0)
		})
	}
}

// TestLimitFollowsProcessor guards against a node that is short of processor time and still
// looks idle to the nodes that choose among the targets of a service by their slots.
func TestLimitFollowsProcessor(t *testing.T) {
	tests := []struct {
		name        string
		utilization float64
		busy, want  int
	}{
		{"not known", 0, 30, 400},
		{"half in use", 0.5, 30, 62},
		{"requests wait", 1.5, 29, 20},
		{"idle target", 1.5, 0, 1},
		{"target full", 0.1, 300, 400},
	}
	const slots = 400
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is.New(t).Equal(ProcessorLoad{Utilization: tc.utilization}.Limit(slots, tc.busy), tc.want)
		})
	}
	is := is.New(t)
	now := time.Unix(1000, 0)
	var p ProcessorLimit
	for range 500 {
		now = now.Add(time.Millisecond)
		p.RecordCall()
		p.Observe(now, 30*time.Millisecond)
	}
	is.True(p.Load(now).Utilization > 1)
}
