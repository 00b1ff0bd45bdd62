package wharfadmission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fakeTarget simulates a target that needs the service time per request and queues
// requests beyond its capacity.
type fakeTarget struct {
	capacity int
	service  time.Duration
}

// run keeps the target busy at the limit in virtual time and returns the number of
// requests that it finished per second.
func (f fakeTarget) run(l Limiter, now *time.Time, span time.Duration) float64 {
	rng := rand.New(rand.NewPCG(3, 4))
	end := now.Add(span)
	done := 0
	for now.Before(end) {
		running := l.Limit()
		rounds := max(float64(running)/float64(f.capacity), 1)
		latency := time.Duration(float64(f.service) * rounds * (0.9 + 0.2*rng.Float64()))
		for i := range running {
			*now = now.Add(latency / time.Duration(running))
			l.Observe(*now, Sample{Latency: latency, Result: Responded, Saturated: i >= 0})
		}
		done += running
	}
	return float64(done) / span.Seconds()
}

const testSlots = 100

// phaseResults holds the limits and the rate of a limiter after phases in which the
// target is healthy, has a tenth of its capacity, or is slow.
type phaseResults struct {
	initial, warm, reduced, recovered int
	slowRate                          float64
}

func runPhases(l Limiter) phaseResults {
	now := epoch
	c := phaseResults{initial: l.Limit()}
	healthy := fakeTarget{testSlots, 10 * time.Millisecond}
	healthy.run(l, &now, 3*time.Second)
	c.warm = l.Limit()
	fakeTarget{testSlots / 10, 10 * time.Millisecond}.run(l, &now, 2*time.Second)
	c.reduced = l.Limit()
	healthy.run(l, &now, 5*time.Second)
	c.recovered = l.Limit()
	slow := fakeTarget{testSlots, 100 * time.Millisecond}
	slow.run(l, &now, 3*time.Second)
	c.slowRate = slow.run(l, &now, 3*time.Second)
	return c
}

func TestAIMDFollowsTarget(t *testing.T) {
	is := is.New(t)
	c := runPhases(NewAIMD(testSlots))
	t.Logf("%+v", c)
	is.True(c.initial <= testSlots/4)
	is.True(c.warm >= testSlots*9/10)
	is.True(c.reduced <= testSlots/10*3)
	is.True(c.recovered >= testSlots*9/10)
	is.True(c.slowRate >= 900) // the slow target can finish 1000/s
}

// TestGradientLosesCapacity shows why AIMD is preferred: Gradient loses capacity at
// a target that is slow for a reason other than the number of its requests.
func TestGradientLosesCapacity(t *testing.T) {
	c := runPhases(NewGradient(testSlots))
	t.Logf("%+v", c)
	is.New(t).True(c.slowRate < 900 || c.warm < testSlots*9/10)
}

func TestLimitFallsWhenTargetSheds(t *testing.T) {
	is := is.New(t)
	l := NewAIMD(100)
	now := epoch
	fakeTarget{100, 10 * time.Millisecond}.run(l, &now, 3*time.Second)
	before := l.Limit()
	for range 50 {
		now = now.Add(10 * time.Millisecond)
		l.Observe(now, Sample{Result: Shed, Saturated: true})
	}
	is.True(l.Limit() < before/2)
}

// TestClassWithoutSamplesDoesNotDecreaseLimit guards against a stale baseline: a
// class has no samples while its target slows down, and its later samples must not
// look like congestion.
func TestClassWithoutSamplesDoesNotDecreaseLimit(t *testing.T) {
	is := is.New(t)
	l := NewAIMD(testSlots)
	now := epoch
	sample := func(rank int, latency time.Duration) {
		now = now.Add(2 * time.Millisecond)
		l.Observe(now, Sample{Rank: rank, Latency: latency, Result: Responded, Saturated: true})
	}
	for i := range 1000 {
		sample(i%2, 10*time.Millisecond)
	}
	for range 1000 {
		sample(0, 100*time.Millisecond)
	}
	for i := range 1000 {
		sample(i%2, 100*time.Millisecond)
		is.True(i < 100 || l.Limit() >= testSlots*9/10)
	}
}

func TestCancelledSamplesAreIgnored(t *testing.T) {
	is := is.New(t)
	l := NewAIMD(100)
	before := l.Limit()
	for i := range 100 {
		l.Observe(epoch.Add(time.Duration(i)*time.Second), Sample{Latency: time.Hour, Result: Cancelled})
	}
	is.Equal(l.Limit(), before)
}

func TestLevelFallsAtOnceAndRisesGradually(t *testing.T) {
	is := is.New(t)
	var l Level
	for i := range uint64(1000) {
		l.Admit(PriorityOf(0, i))
		l.Admit(PriorityOf(5, i))
	}
	l.Update(true, 475)
	is.Equal(l.Threshold().Rank(), 0)
	share := float64(l.Threshold()) / bucketsPerRank
	is.True(share > 0.4 && share < 0.5) // 475 of the 1000 arrivals of rank 0
	windows := 0
	for ; l.Threshold() < LevelOpen; windows++ {
		l.Update(false, 475)
	}
	is.True(windows >= 5 && windows <= 10)
}
