package wharfbudget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRepeatLimitHoldsOverAllNodes splits random traffic over a number of nodes that
// repeat as many requests as they may. In every window all nodes together must stay
// within the limit. Requests count if they fall into the window or the one before,
// because a repeat at the start of a window was allowed by the requests of the
// window before it.
func TestRepeatLimitHoldsOverAllNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := RepeatLimit{Ratio: 0.2, Slack: rapid.IntRange(0, 60).Draw(t, "slack"), Window: 10 * time.Second}
		nodes := make([]RepeatCounter, rapid.IntRange(1, 40).Draw(t, "nodes"))
		start := time.Unix(1_000_000, 0)
		var requests, repeats []time.Time
		now := start
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			n := &nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
			if rapid.Bool().Draw(t, "request") {
				n.Request(now, limit)
				requests = append(requests, now)
			}
			for range rapid.IntRange(0, 3).Draw(t, "tries") {
				if n.Allow(now, limit, len(nodes)) {
					repeats = append(repeats, now)
				}
			}
		}
		for _, end := range repeats {
			inWindow := countWithin(repeats, end.Add(-limit.Window), end)
			requested := countWithin(requests, end.Add(-2*limit.Window), end)
			if bound := limit.Ratio*float64(requested) + float64(limit.Slack); float64(inWindow) > bound {
				t.Fatalf("%d repeats in a window, %f allowed", inWindow, bound)
			}
		}
	})
}

func countWithin(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			n++
		}
	}
	return n
}
