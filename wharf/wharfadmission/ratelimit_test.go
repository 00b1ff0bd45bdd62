package wharfadmission

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// The bound of the users' rule: in rateWindow a target gets at most rateFactor times what its
// limit allows, and rateSlack requests.
const (
	rateWindow = 4 * time.Second
	rateFactor = 1.5
	rateSlack  = 5
)

// rateSimulation offers requests to a gate every few milliseconds. Each runs for as long as
// the target works on it.
type rateSimulation struct {
	gate    *Gate
	now     time.Time
	nextID  uint64
	ranks   map[uint64]int
	ends    map[uint64]time.Time
	starts  []time.Time
	started [rankCount]int
}

func newRateSimulation() *rateSimulation {
	return &rateSimulation{
		gate:  NewGate(Config{Limiter: fixedLimit(100), MaxWait: 300 * time.Millisecond}),
		now:   epoch,
		ranks: map[uint64]int{}, ends: map[uint64]time.Time{},
	}
}

func (s *rateSimulation) apply(fx Effects, work time.Duration) {
	for _, id := range fx.Run {
		s.starts = append(s.starts, s.now)
		s.started[s.ranks[id]]++
		s.ends[id] = s.now.Add(work)
	}
}

// step advances the time, ends the requests that are due, and offers one of a rank.
func (s *rateSimulation) step(d, work time.Duration, rank int) {
	s.now = s.now.Add(d)
	for id, end := range s.ends {
		if !end.After(s.now) {
			delete(s.ends, id)
			s.apply(s.gate.Finish(s.now, id, work, Responded), work)
		}
	}
	s.nextID++
	s.ranks[s.nextID] = rank
	s.apply(s.gate.Offer(s.now, Ticket{ID: s.nextID, Rank: rank, Arrived: s.now, Deadline: s.now.Add(2 * time.Second)}), work)
	s.apply(s.gate.Refill(s.now), work)
}

// most returns the largest number of starts in any window.
func (s *rateSimulation) most(window time.Duration) int {
	most, first := 0, 0
	for i, at := range s.starts {
		for at.Sub(s.starts[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestRateLimitIsKept guards against a target that gets more than the limit that it named,
// for any limit, load and time of work, also if single responses don't name it.
func TestRateLimitIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(minRate, 200).Draw(t, "limit")
		work := time.Duration(rapid.IntRange(1, 500).Draw(t, "work-ms")) * time.Millisecond
		s := newRateSimulation()
		for range 50 {
			s.step(5*time.Millisecond, work, 0)
		}
		s.gate.SetRate(s.now, limit)
		s.starts = nil
		for range 1000 {
			s.step(time.Duration(rapid.IntRange(1, 20).Draw(t, "gap-ms"))*time.Millisecond, work, 0)
			s.gate.SetRate(s.now, limit)
			if rapid.Bool().Draw(t, "stray") {
				fx, _ := s.gate.LiftRate(s.now)
				s.apply(fx, work)
			}
		}
		allowed := rateFactor*limit*rateWindow.Seconds() + rateSlack
		if most := s.most(rateWindow); float64(most) > allowed {
			t.Fatalf("%d starts in %v under a limit of %.1f a second, allowed %.0f", most, rateWindow, limit, allowed)
		}
	})
}

// TestRateLimitOrder offers three times the limit of a target in need, a third of it of an
// important rank. The important requests must get what there is.
func TestRateLimitOrder(t *testing.T) {
	is := is.New(t)
	s := newRateSimulation()
	s.gate.SetRate(s.now, 20)
	for i := range 600 {
		s.step(time.Second/60, 50*time.Millisecond, []int{0, 2, 2}[i%3])
		s.gate.SetRate(s.now, 20)
	}
	is.True(s.started[0] >= 180) // of 200 offered in 10 s, with room for 200
	is.True(s.started[2] <= 20)
}

// TestRateLimitIsLifted guards against a limit that holds for longer than rateLinger after
// the last response that named it, and against a limit of zero that nothing could lift.
func TestRateLimitIsLifted(t *testing.T) {
	is := is.New(t)
	s := newRateSimulation()
	is.True(s.gate.SetRate(s.now, 0))
	is.True(!s.gate.SetRate(s.now, 0))
	for range 300 {
		s.step(10*time.Millisecond, 20*time.Millisecond, 0)
	}
	is.True(len(s.starts) > 0) // one of them would name a higher limit or none
	_, lifted := s.gate.LiftRate(s.now)
	is.True(lifted)
	before := len(s.starts)
	for range 100 {
		s.step(10*time.Millisecond, 20*time.Millisecond, 0)
	}
	is.True(len(s.starts)-before >= 95)
}

// TestRateLimitShowsInLoad checks that senders learn of the limit: a target that may start
// few requests reports that it runs few at once.
func TestRateLimitShowsInLoad(t *testing.T) {
	is := is.New(t)
	s := newRateSimulation()
	for range 100 {
		s.step(10*time.Millisecond, 100*time.Millisecond, 0)
	}
	is.Equal(s.gate.Load().Limit, 100)
	s.gate.SetRate(s.now, 30)
	is.True(slices.Contains([]int{2, 3}, s.gate.Load().Limit)) // 30 a second for 0.1 s
	s.now = s.now.Add(rateLinger)
	s.gate.LiftRate(s.now)
	is.Equal(s.gate.Load().Limit, 100)
}
