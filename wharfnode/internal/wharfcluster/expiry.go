package wharfcluster

import (
	"context"
	"time"

	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharftimer"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

const (
	// expiryInterval is how often expired targets and keys are removed.
	expiryInterval = time.Second
	// pruneInterval is how often connections to nodes that have left are closed.
	pruneInterval = 30 * time.Second
	// pauseTick is how often the pause detector reads the clock.
	pauseTick = 250 * time.Millisecond
	// pauseThreshold is the least time between two ticks that counts as a pause
	// of the process.
	pauseThreshold = 2 * time.Second
)

// expiry removes targets that stopped renewing their announcement, and key entries
// that are no longer needed. A key entry is needed for the sum of the three times
// in wharfidempotency.DedupWindow. expiry also closes connections to nodes that
// have left.
type expiry struct {
	agent *Agent
}

func (e *expiry) run(ctx context.Context) {
	lastPrune := time.Now()
	for wharftimer.Sleep(ctx, expiryInterval) {
		now := time.Now()
		for _, t := range e.agent.Registry.Expired(now, e.agent.TargetTimeout) {
			if e.agent.Registry.Remove(t.Address) {
				e.agent.Log.Emit(wharfevents.TargetExpired, wharfevents.Field{Name: "target", Value: t.Address})
				e.agent.Announce()
			}
		}
		window := e.agent.View.DedupWindow()
		e.agent.Keys.Expire(now, window.Resend+window.Skew+window.Staleness)
		if now.Sub(lastPrune) >= pruneInterval {
			lastPrune = now
			e.agent.Peers.Prune(e.wanted())
		}
	}
}

// wanted returns a function that reports whether to keep the connection to an
// address. Only connections to nodes that have left are closed.
func (e *expiry) wanted() func(string) bool {
	left := map[string]bool{}
	e.agent.View.Members(func(t *wharfmember.Table) {
		for _, m := range t.All() {
			left[m.Address] = m.State == wharfmember.Left
		}
	})
	return func(address string) bool { return !left[address] }
}

// pauseDetector detects that the process was paused. The log may have advanced
// during the pause, so the state is then no longer confirmed.
type pauseDetector struct {
	agent *Agent
}

func (p *pauseDetector) run(ctx context.Context) {
	last := time.Now()
	for wharftimer.Sleep(ctx, pauseTick) {
		now := time.Now()
		// Both clocks are compared: the monotonic clock may stop in a frozen
		// VM while the wall clock is set forward when the VM resumes.
		pause := max(now.Sub(last), now.Round(0).Sub(last.Round(0)))
		last = now
		if pause < pauseThreshold {
			continue
		}
		p.agent.View.ResetConfirmation()
		p.agent.Log.Emit(wharfevents.PauseNoticed, wharfevents.Field{Name: "pause", Value: pause.String()})
		p.agent.TriggerRound()
	}
}
