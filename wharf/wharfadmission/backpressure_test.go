package wharfadmission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBackpressureOfSharedSlowService guards against backpressure that sheds the
// wrong requests or wastes capacity. Requests of three ranks arrive at fixed rates
// and call one shared service, which has less capacity than all of them need. The
// nodes see only its queue delay, which grows with what they admit. Nearly all
// requests of the two more important ranks must be admitted, the least important
// rank must fill the remaining capacity, and after the surge all must be admitted
// again.
func TestBackpressureOfSharedSlowService(t *testing.T) {
	const (
		tick        = 10 * time.Millisecond
		capacity    = 40.0 // calls a tick
		serviceTime = 22 * time.Millisecond
		slots       = 90.0
	)
	kinds := []struct {
		rank    int
		offered float64 // calls a tick
	}{{0, 12}, {1, 10}, {2, 50}}
	nodes := make([]Backpressure, len(kinds))
	now := time.Unix(1000, 0)
	queue := 0.0
	run := func(span time.Duration, scale float64) (admitted [3]float64) {
		for end := now.Add(span); now.Before(end); now = now.Add(tick) {
			arrived := 0.0
			for i, k := range kinds {
				for bucket := range bucketsPerRank {
					if nodes[i].Admit(now, PriorityOf(k.rank, uint64(bucket))) {
						arrived += scale * k.offered / bucketsPerRank
						admitted[i] += tick.Seconds() / span.Seconds() / bucketsPerRank
					}
				}
			}
			queue = max(queue+arrived-capacity, 0)
			wait := time.Duration(queue / slots * float64(serviceTime))
			for i := range nodes {
				nodes[i].Observe(now, wait)
			}
		}
		return admitted
	}
	is := is.New(t)
	run(3*time.Second, 1) // until the shares settle
	admitted := run(10*time.Second, 1)
	is.True(admitted[0] > 0.99)
	is.True(admitted[1] > 0.95)
	used := (12*admitted[0] + 10*admitted[1] + 50*admitted[2]) / capacity
	is.True(used > 0.85) // capacity isn't wasted
	is.True(used <= 1.02)
	run(5*time.Second, 0.4) // the surge ends
	admitted = run(time.Second, 0.4)
	is.Equal(admitted[2] > 0.999, true)
}

// TestBackpressureEndsWithoutDownstreamCalls guards against a target that keeps
// rejecting client requests although it no longer makes calls, so that no new
// queue delay is measured.
func TestBackpressureEndsWithoutDownstreamCalls(t *testing.T) {
	is := is.New(t)
	var b Backpressure
	now := time.Unix(1000, 0)
	for range 100 {
		b.Observe(now, MaxQueueDelay)
		now = now.Add(50 * time.Millisecond)
	}
	last := PriorityOf(2, bucketsPerRank-1)
	is.True(!b.Admit(now, last))
	is.True(b.Admit(now, PriorityOf(0, 0))) // a share of minAdmittedShare is always admitted
	now = now.Add(10 * time.Second)
	is.True(b.Admit(now, last))
	is.Equal(b.QueueDelay(now), time.Duration(0))
}
