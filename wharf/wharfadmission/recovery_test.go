package wharfadmission

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	modelStep    = 10 * time.Millisecond
	modelSlots   = 4
	modelService = 40 * time.Millisecond
	modelRanks   = 3
)

// modelRequest is a request that waits or runs. It waits if it has no end.
type modelRequest struct {
	Ticket
	started, ends time.Time
}

// targetModel is a gate with a target whose speed changes, on a node that stands still at
// times.
type targetModel struct {
	gate     *Gate
	now      time.Time
	lastID   uint64
	requests []modelRequest
	// service is the time that the target takes for a request that starts now.
	service time.Duration
	// offered and served count the requests of each rank.
	offered, served [modelRanks]int
}

func (m *targetModel) apply(fx Effects) {
	for i, r := range m.requests {
		if slices.Contains(fx.Run, r.ID) {
			m.requests[i].started, m.requests[i].ends = m.now, m.now.Add(m.service)
		}
	}
	m.requests = slices.DeleteFunc(m.requests, func(r modelRequest) bool {
		return slices.ContainsFunc(fx.Refused, func(refused Refusal) bool { return refused.ID == r.ID })
	})
}

func (m *targetModel) offer(rank int, remaining time.Duration) {
	m.lastID++
	m.offered[rank]++
	t := Ticket{ID: m.lastID, Rank: rank, Priority: PriorityOf(rank, m.lastID), Arrived: m.now, Deadline: m.now.Add(remaining)}
	m.requests = append(m.requests, modelRequest{Ticket: t})
	m.apply(m.gate.Offer(m.now, t))
}

// endDue ends the running requests that are due and the waiting ones that can't start in time.
func (m *targetModel) endDue() {
	for _, r := range slices.Clone(m.requests) {
		current := slices.IndexFunc(m.requests, func(other modelRequest) bool { return other.ID == r.ID })
		if current < 0 {
			continue
		}
		r = m.requests[current]
		running := !r.ends.IsZero()
		switch {
		case running && !r.ends.After(m.now):
			m.requests = slices.Delete(m.requests, current, current+1)
			m.served[r.Rank]++
			m.apply(m.gate.Finish(m.now, r.ID, m.now.Sub(r.started), Responded))
		case !running && !m.gate.LatestStart(r.Ticket).After(m.now):
			m.requests = slices.Delete(m.requests, current, current+1)
			m.gate.Cancel(r.ID)
		}
	}
}

// run offers requests of each rank at its rate per second, for a time.
func (m *targetModel) run(length time.Duration, rates [modelRanks]float64, remaining [modelRanks]time.Duration) {
	var due [modelRanks]float64
	for end := m.now.Add(length); m.now.Before(end); m.now = m.now.Add(modelStep) {
		m.endDue()
		for rank, rate := range rates {
			for due[rank] += rate * modelStep.Seconds(); due[rank] >= 1; due[rank]-- {
				m.offer(rank, remaining[rank])
			}
		}
	}
}

// TestEachRankIsServedAfterDisturbance plays freezes of the node, slow spells of the target
// and surges, and checks that each rank is served again within wayBack once the target is
// calm.
func TestEachRankIsServedAfterDisturbance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &targetModel{gate: NewGate(Config{Limiter: fixedLimit(modelSlots), Levels: true}), now: epoch, service: modelService}
		var remaining [modelRanks]time.Duration
		calm := [modelRanks]float64{15, 15, 15} // of 100 a second
		for rank := range remaining {
			remaining[rank] = time.Duration(rapid.IntRange(150, 2000).Draw(t, "remaining-ms")) * time.Millisecond
		}
		for range rapid.IntRange(1, 4).Draw(t, "disturbances") {
			rates := calm
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				m.now = m.now.Add(time.Duration(rapid.IntRange(200, 5000).Draw(t, "freeze-ms")) * time.Millisecond)
			case 1:
				m.service = time.Duration(rapid.IntRange(2, 20).Draw(t, "slower")) * modelService
			case 2:
				for rank := range rates {
					rates[rank] *= float64(rapid.IntRange(1, 20).Draw(t, "surge"))
				}
			}
			m.run(time.Duration(rapid.IntRange(100, 3000).Draw(t, "length-ms"))*time.Millisecond, rates, remaining)
			m.service = modelService
		}
		m.run(wayBack, calm, remaining)
		m.offered, m.served = [modelRanks]int{}, [modelRanks]int{}
		m.run(time.Second, calm, remaining)
		for rank := range calm {
			// One request of each rank may still run at the end.
			if m.served[rank] < m.offered[rank]-1 {
				t.Fatalf("rank %d: %d of %d requests served %v after the last disturbance", rank, m.served[rank], m.offered[rank], wayBack)
			}
		}
	})
}
