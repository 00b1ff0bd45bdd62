package wharfadmission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fakeTarget answers in a service time, and queues what exceeds its true
// capacity.
type fakeTarget struct {
	capacity int
	service  time.Duration
}

// run keeps the target busy at its limit in virtual time, and returns the
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
			l.Observe(*now, Sample{Latency: latency, Result: Answered, Saturated: i >= 0})
		}
		done += running
	}
	return float64(done) / span.Seconds()
}

const testSlots = 100

// course is what a limiter does over healthy, narrow and slow phases.
type course struct {
	cold, warm, narrow, recovered int
	slowRate                      float64
}

func courseOf(l Limiter) course {
	now := epoch
	c := course{cold: l.Limit()}
	healthy := fakeTarget{testSlots, 10 * time.Millisecond}
	healthy.run(l, &now, 3*time.Second)
	c.warm = l.Limit()
	fakeTarget{testSlots / 10, 10 * time.Millisecond}.run(l, &now, 2*time.Second)
	c.narrow = l.Limit()
	healthy.run(l, &now, 5*time.Second)
	c.recovered = l.Limit()
	slow := fakeTarget{testSlots, 100 * time.Millisecond}
	slow.run(l, &now, 3*time.Second)
	c.slowRate = slow.run(l, &now, 3*time.Second)
	return c
}

func TestAIMDFollowsTarget(t *testing.T) {
	is := is.New(t)
	c := courseOf(NewAIMD(testSlots))
	t.Logf("%+v", c)
	is.True(c.cold <= testSlots/4)
	is.True(c.warm >= testSlots*9/10)
	is.True(c.narrow <= testSlots/10*3)
	is.True(c.recovered >= testSlots*9/10)
	is.True(c.slowRate >= 900) // 1000/s is all that the slow target can do
}

// TestGradientLosesCapacity shows what the variant that was not chosen does
// with a target that is slow by itself.
func TestGradientLosesCapacity(t *testing.T) {
	c := courseOf(NewGradient(testSlots))
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

// TestUnseenClassDoesNotCutLimit lets a class that was not seen while its
// target slowed down come back afterwards.
func TestUnseenClassDoesNotCutLimit(t *testing.T) {
	is := is.New(t)
	l := NewAIMD(testSlots)
	now := epoch
	sample := func(rank int, latency time.Duration) {
		now = now.Add(2 * time.Millisecond)
		l.Observe(now, Sample{Rank: rank, Latency: latency, Result: Answered, Saturated: true})
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

func TestWithdrawnSaysNothing(t *testing.T) {
	is := is.New(t)
	l := NewAIMD(100)
	before := l.Limit()
	for i := range 100 {
		l.Observe(epoch.Add(time.Duration(i)*time.Second), Sample{Latency: time.Hour, Result: Cancelled})
	}
	is.Equal(l.Limit(), before)
}

func TestLevelComesDownAtOnceAndOpensGradually(t *testing.T) {
	is := is.New(t)
	var l Level
	for i := range uint64(1000) {
		l.Admit(PriorityOf(0, i))
		l.Admit(PriorityOf(5, i))
	}
	l.Update(true, 475)
	is.Equal(l.Threshold().Rank(), 0)
	share := float64(l.Threshold()) / bucketsPerRank
	is.True(share > 0.4 && share < 0.5) // 475 of the first thousand
	windows := 0
	for ; l.Threshold() < LevelOpen; windows++ {
		l.Update(false, 475)
	}
	is.True(windows >= 5 && windows <= 10)
}
