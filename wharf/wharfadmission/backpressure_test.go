package wharfadmission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSurgeWithASlowSecondService is the pattern that backpressure answers:
// three kinds of work come in at fixed rates and make calls to one shared
// service that takes less than all of them need. Its queue grows with what is
// let in and is all that the nodes see of it. The most important work is served
// whole, the least important one fills what is left, and after the surge all of
// it is let in again.
func TestSurgeWithASlowSecondService(t *testing.T) {
	const (
		tick     = 10 * time.Millisecond
		capacity = 40.0 // calls a tick
		hold     = 22 * time.Millisecond
		slots    = 90.0
	)
	kinds := []struct {
		rank  int
		offer float64 // calls a tick
	}{{0, 12}, {1, 10}, {2, 50}}
	nodes := make([]Backpressure, len(kinds))
	now := time.Unix(1000, 0)
	queue := 0.0
	run := func(span time.Duration, scale float64) (let [3]float64) {
		for end := now.Add(span); now.Before(end); now = now.Add(tick) {
			arrived := 0.0
			for i, k := range kinds {
				for bucket := range bucketsPerRank {
					if nodes[i].Admit(now, PriorityOf(k.rank, uint64(bucket))) {
						arrived += scale * k.offer / bucketsPerRank
						let[i] += tick.Seconds() / span.Seconds() / bucketsPerRank
					}
				}
			}
			queue = max(queue+arrived-capacity, 0)
			wait := time.Duration(queue / slots * float64(hold))
			for i := range nodes {
				nodes[i].Observe(now, wait)
			}
		}
		return let
	}
	is := is.New(t)
	run(3*time.Second, 1) // settles
	let := run(10*time.Second, 1)
	is.True(let[0] > 0.99)
	is.True(let[1] > 0.95)
	used := (12*let[0] + 10*let[1] + 50*let[2]) / capacity
	is.True(used > 0.85) // capacity isn't wasted
	is.True(used <= 1.02)
	run(5*time.Second, 0.4) // the surge ends
	let = run(time.Second, 0.4)
	is.Equal(let[2] > 0.999, true)
}

// TestPressureEndsWithItsCalls opens a target again that makes no calls any
// more.
func TestPressureEndsWithItsCalls(t *testing.T) {
	is := is.New(t)
	var b Backpressure
	now := time.Unix(1000, 0)
	for range 100 {
		b.Observe(now, MaxQueueDelay)
		now = now.Add(50 * time.Millisecond)
	}
	last := PriorityOf(2, bucketsPerRank-1)
	is.True(!b.Admit(now, last))
	is.True(b.Admit(now, PriorityOf(0, 0))) // some of it always comes
	now = now.Add(10 * time.Second)
	is.True(b.Admit(now, last))
	is.Equal(b.QueueDelay(now), time.Duration(0))
}
