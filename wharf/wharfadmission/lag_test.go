package wharfadmission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// lagged is the pattern of a service three hops below: work that is let in meets
// its queue, and what is said of the queue comes up late. A wait above the longest
// that the calls bear fails them.
type lagged struct {
	node     Backpressure
	rank     int
	capacity float64 // calls a tick
	queue    float64
	now      time.Time
	said     []time.Duration
}

const (
	lagTick = 10 * time.Millisecond
	// lagTime is three hops, each with the age of a mean over a window and the way
	// of an answer, and half a window until the next decision.
	lagTime = 3*(delayWindow+20*time.Millisecond) + delayWindow/2
	// lagLongest is the wait above which calls are lost.
	lagLongest = 250 * time.Millisecond
)

// run offers work for a while and returns which part of the capacity was used
// well, and which part of the work that was let in was lost.
func (l *lagged) run(span time.Duration, offer float64) (used, lost float64) {
	ticks, good, bad, in := 0.0, 0.0, 0.0, 0.0
	for end := l.now.Add(span); l.now.Before(end); l.now = l.now.Add(lagTick) {
		let := 0.0
		for bucket := range bucketsPerRank {
			if l.node.Admit(l.now, PriorityOf(l.rank, uint64(bucket))) {
				let += offer / bucketsPerRank
			}
		}
		wait := time.Duration(l.queue / l.capacity * float64(lagTick))
		if wait > lagLongest {
			bad += let
			let = 0
		}
		in += let
		l.queue += let
		done := min(l.queue, l.capacity)
		l.queue -= done
		good += done
		ticks++
		l.said = append(l.said, wait)
		if late := len(l.said) - int(lagTime/lagTick); late >= 0 {
			l.node.Observe(l.now, l.said[late])
		}
	}
	return good / (ticks * l.capacity), bad / max(in+bad, 1)
}

// TestLateSignalLosesLittleWork is the pattern of a burst of half as much again
// as a deep service takes, of work of the lowest of three ranks.
func TestLateSignalLosesLittleWork(t *testing.T) {
	is := is.New(t)
	l := &lagged{rank: 2, capacity: 40, now: time.Unix(1000, 0)}
	l.run(time.Second, 30)
	l.run(3*time.Second, 60)
	used, lost := l.run(20*time.Second, 60)
	is.True(used > 0.8)
	is.True(lost < 0.02)
	// After the burst all is let in within seconds.
	l.run(5*time.Second, 30)
	is.Equal(l.node.AdmittedShare(l.now, 2), 1.0)
}
