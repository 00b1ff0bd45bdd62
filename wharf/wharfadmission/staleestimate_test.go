package wharfadmission

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// wayBack is the longest time for which an outdated estimate may refuse a rank.
const wayBack = 5 * time.Second

// TestOutdatedLatencyRefusesNoRankForGood guards against a target that refuses one rank for
// good. Some requests of the rank took long, for example because the VM was frozen. After
// that the target is fast again, and requests of another rank keep it busy, so that the rank
// is never let in because the target is idle.
func TestOutdatedLatencyRefusesNoRankForGood(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var (
			slow     = time.Duration(rapid.IntRange(500, 5000).Draw(t, "slow-ms")) * time.Millisecond
			samples  = rapid.IntRange(1, 50).Draw(t, "slow-requests")
			rank     = rapid.IntRange(1, LastRank).Draw(t, "rank")
			deadline = time.Duration(rapid.IntRange(100, 2000).Draw(t, "deadline-ms")) * time.Millisecond
			gate     = NewGate(Config{Limiter: fixedLimit(100)})
			now      = epoch
			id       uint64
		)
		offer := func(rank int) (uint64, bool) {
			id++
			fx := gate.Offer(now, Ticket{ID: id, Rank: rank, Arrived: now, Deadline: now.Add(deadline)})
			return id, len(fx.Run) == 1
		}
		for range samples {
			if slowID, runs := offer(rank); runs {
				gate.Finish(now, slowID, slow, Responded)
			}
		}
		busy, _ := offer(0)
		for end := now.Add(wayBack); now.Before(end); now = now.Add(50 * time.Millisecond) {
			next, _ := offer(0)
			gate.Finish(now, busy, 20*time.Millisecond, Responded)
			busy = next
			if slowID, runs := offer(rank); runs {
				gate.Finish(now, slowID, 20*time.Millisecond, Responded)
			}
		}
		if _, runs := offer(rank); !runs {
			t.Fatalf("rank %d with %v left is refused %v after its last slow request", rank, deadline, wayBack)
		}
	})
}
