package wharfadmission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// callingNode simulates the processor of a node whose target makes calls, one after another,
// for each call that it gets. Each call, in either direction, takes the processor for a while,
// in the order of arrival.
type callingNode struct {
	limit ProcessorLimit
	rng   *rand.Rand
	now   time.Time
	// turn is the time that a call takes the processor for.
	turn time.Duration
	// calls is the number of calls that the target makes for one that it gets, and pause the
	// time from the end of one turn to the next.
	calls int
	pause time.Duration
	// queue holds the calls that wait for their turn, and later those that come at a time.
	queue []nodeTurn
	later map[time.Time][]nodeTurn
	free  time.Time
}

// nodeTurn is a call that needs the processor.
type nodeTurn struct {
	since time.Time
	// left is the number of calls that follow it.
	left int
}

// run simulates a span of time with a rate of calls that the node gets.
func (m *callingNode) run(span time.Duration, perSecond float64) {
	const tick = 100 * time.Microsecond
	for end := m.now.Add(span); m.now.Before(end); m.now = m.now.Add(tick) {
		if m.rng.Float64() < perSecond*tick.Seconds() {
			m.limit.RecordCall()
			m.queue = append(m.queue, nodeTurn{m.now, m.calls})
		}
		for _, t := range m.later[m.now] {
			m.queue = append(m.queue, nodeTurn{m.now, t.left})
		}
		delete(m.later, m.now)
		for len(m.queue) > 0 && !m.free.After(m.now) {
			t := m.queue[0]
			m.queue = m.queue[1:]
			m.limit.Observe(m.now, m.now.Sub(t.since))
			m.free = m.now.Add(m.turn)
			if t.left > 0 {
				at := m.now.Add((m.turn + m.pause).Round(tick))
				m.later[at] = append(m.later[at], nodeTurn{at, t.left - 1})
			}
		}
	}
}

// TestProcessorLimitOfCallingTarget guards against a node that takes a moment with few calls for
// what its processor can carry. Its target makes calls of its own for each call that it gets, so
// that the node is short of processor time for calls that came before. The senders keep to what
// the node reports, and learn of it late.
func TestProcessorLimitOfCallingTarget(t *testing.T) {
	const (
		turn  = 300 * time.Microsecond
		calls = 5
		// lag is the number of steps after which a report shows in the calls.
		lag  = 40
		step = 10 * time.Millisecond
		// minLimit and minUsed are the lowest limit and the least use, as shares of the capacity.
		minLimit, minUsed = 0.5, 0.75
	)
	// capacity is what the processor can carry, in calls a second.
	capacity := 1 / (turn.Seconds() * (calls + 1))
	for _, load := range []float64{0.9, 1.1, 1.5, 3} {
		is := is.NewRelaxed(t)
		m := &callingNode{
			rng: rand.New(rand.NewPCG(1, 2)), now: epoch, turn: turn, calls: calls, pause: 60 * time.Millisecond,
			later: map[time.Time][]nodeTurn{},
		}
		reports := [lag]float64{}
		lowest, sent, queued := capacity, 0.0, 0
		const steps = 2000
		for i := range steps {
			rate := load * capacity
			if r := reports[i%lag]; r > 0 {
				rate = min(rate, r)
			}
			m.run(step, rate)
			p := m.limit.Load(m.now)
			reports[i%lag] = max(p.PerSecond-p.Backlog, 0)
			if p.PerSecond > 0 {
				lowest = min(lowest, p.PerSecond)
			}
			sent += rate * step.Seconds()
			queued += len(m.queue)
		}
		used := sent / (capacity * steps * step.Seconds())
		t.Logf("load %.1f: %.3f of the capacity used, lowest limit %.0f of %.0f calls a second, mean queue %d", load, used, lowest, capacity, queued/steps)
		is.True(lowest > minLimit*capacity)
		is.True(used > minUsed*min(load, 1))
	}
}
