package wharfadmission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// laggedService simulates a service three hops downstream. Admitted requests enter
// its queue, and the node learns the queue delay late. A request that meets a wait
// above maxServedWait fails.
type laggedService struct {
	node        Backpressure
	rank        int
	capacity    float64 // calls a tick
	queue       float64
	now         time.Time
	queueDelays []time.Duration
}

const (
	lagTick = 10 * time.Millisecond
	// signalDelay is the age of a reported queue delay. Each of three hops adds one
	// window, for its mean, and 20 ms, to transfer the response. The next evaluation
	// at the node adds half a window.
	signalDelay = 3*(delayWindow+20*time.Millisecond) + delayWindow/2
	// maxServedWait is the wait above which requests fail.
	maxServedWait = 250 * time.Millisecond
)

// run offers requests for a while and returns the used share of the capacity and
// the share of the admitted requests that failed.
func (l *laggedService) run(span time.Duration, offered float64) (used, lost float64) {
	ticks, served, failed, accepted := 0.0, 0.0, 0.0, 0.0
	for end := l.now.Add(span); l.now.Before(end); l.now = l.now.Add(lagTick) {
		admitted := 0.0
		for bucket := range bucketsPerRank {
			if l.node.Admit(l.now, PriorityOf(l.rank, uint64(bucket))) {
				admitted += offered / bucketsPerRank
			}
		}
		wait := time.Duration(l.queue / l.capacity * float64(lagTick))
		if wait > maxServedWait {
			failed += admitted
			admitted = 0
		}
		accepted += admitted
		l.queue += admitted
		done := min(l.queue, l.capacity)
		l.queue -= done
		served += done
		ticks++
		l.queueDelays = append(l.queueDelays, wait)
		if reportIndex := len(l.queueDelays) - int(signalDelay/lagTick); reportIndex >= 0 {
			l.node.Observe(l.now, l.queueDelays[reportIndex])
		}
	}
	return served / (ticks * l.capacity), failed / max(accepted+failed, 1)
}

// TestBackpressureWithDelayedSignal guards against oscillation under a late signal:
// requests of the lowest of three ranks arrive at one and a half times the capacity
// of a service three hops downstream. Most capacity must be used, few admitted
// requests may fail, and all must be admitted again soon after the burst.
func TestBackpressureWithDelayedSignal(t *testing.T) {
	is := is.New(t)
	l := &laggedService{rank: 2, capacity: 40, now: time.Unix(1000, 0)}
	l.run(time.Second, 30)
	l.run(3*time.Second, 60)
	used, lost := l.run(20*time.Second, 60)
	is.True(used > 0.8)
	is.True(lost < 0.02)
	// All requests are admitted within seconds after the burst.
	l.run(5*time.Second, 30)
	is.Equal(l.node.AdmittedShare(l.now, 2), 1.0)
}
