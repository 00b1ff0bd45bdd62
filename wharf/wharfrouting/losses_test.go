package wharfrouting

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharfoutcome"
)

// underWay is how many requests are under way at a time.
const underWay = 20

// shareOf sends requests, of which a target loses a share of the answers, and returns the target's part of the last half.
func shareOf(t *testing.T, b *Balancer, address string, requests int, lost float64) float64 {
	t.Helper()
	rng := newRand()
	var open []func()
	now, part := epoch.Add(time.Hour), 0
	for i := range requests {
		now = now.Add(time.Millisecond)
		target, reason := b.Pick(now, rng, Request{})
		if reason != wharfoutcome.ReasonNone {
			t.Fatal(reason)
		}
		result := Answered
		if target.Address == address {
			if i >= requests/2 {
				part++
			}
			if rng.Float64() < lost {
				result = ResponseLost
			}
		}
		open = append(open, func() { b.Observe(now, target.Address, "", result, underWay*time.Millisecond, nil) })
		if len(open) > underWay {
			open[0]()
			open = open[1:]
		}
	}
	for _, end := range open {
		end()
	}
	return float64(part) / float64(requests-requests/2)
}

// TestTargetThatLosesAnswersIsSpared is the pattern of some targets of a service
// that lose answers while they look healthy.
func TestTargetThatLosesAnswersIsSpared(t *testing.T) {
	is := is.New(t)
	b := newTestBalancer(4)
	is.True(shareOf(t, b, "t0", 4000, 0) > 0.15)
	is.True(shareOf(t, b, "t0", 4000, 0.4) < 0.10)
	is.True(shareOf(t, b, "t0", 4000, 1) < 0.05)
	// It comes back by what it is still sent.
	is.True(shareOf(t, b, "t0", 4000, 0) > 0.15)
}
