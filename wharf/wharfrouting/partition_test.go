package wharfrouting

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharfoutcome"
)

// TestPartitionedSenderUsesReachableTargets covers a partition that leaves a sender two
// of ten targets, more than panicThreshold of them unreachable. Every request must go to
// one of the two, and to all targets again after the partition.
func TestPartitionedSenderUsesReachableTargets(t *testing.T) {
	is := is.New(t)
	b, rng := newTestBalancer(10), newRand()
	reachable := map[string]bool{"t3": true, "t7": true}
	now := epoch
	lost := 0
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		target, reason := b.Pick(now, rng, Request{})
		is.Equal(reason, wharfoutcome.ReasonNone)
		if reachable[target.Address] {
			b.Observe(now, target.Address, "", Responded, time.Millisecond, nil)
			continue
		}
		lost++
		b.Observe(now, target.Address, "", Unreachable, 0, nil)
	}
	// Each of the eight is tried once, and again after an ejection of one second.
	is.True(lost <= 2*8)
	now = now.Add(maxEjection)
	picked := map[string]bool{}
	for range 200 {
		target, _ := b.Pick(now, rng, Request{})
		b.Observe(now, target.Address, "", Responded, time.Millisecond, nil)
		picked[target.Address] = true
	}
	is.True(len(picked) > 2)
}

// TestPanicModeKeepsFailingTargets checks that targets that were ejected for failures
// are still used if most targets are ejected.
func TestPanicModeKeepsFailingTargets(t *testing.T) {
	is := is.New(t)
	b, rng := newTestBalancer(4), newRand()
	for _, address := range []string{"t0", "t1", "t2"} {
		for range failuresToEject {
			b.Observe(epoch, address, "", TargetFailed, 0, nil)
		}
	}
	picked := map[string]bool{}
	for range 200 {
		target, _ := b.Pick(epoch, rng, Request{})
		picked[target.Address] = true
	}
	is.Equal(len(picked), 4)
}
