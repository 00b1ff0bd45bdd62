package wharfcluster

import (
	"context"
	"time"

	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharfquarantine"
	"ragwortwharf.dev/wharf/wharftimer"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/internal/wharftarget"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

const (
	expiryInterval = time.Second
	// pruneInterval is how often connections to ended nodes are closed.
	pruneInterval = 30 * time.Second
	// pauseTick is how often the process looks at the clock.
	pauseTick = 250 * time.Millisecond
	// pauseThreshold is how long a tick must be overdue to mean a pause.
	pauseThreshold = 2 * time.Second
)

// expiry drops targets that stopped renewing, and keys past their horizon.
type expiry struct {
	mesh *Agent
}

func (e *expiry) run(ctx context.Context) {
	pruned := time.Now()
	for wharftimer.Sleep(ctx, expiryInterval) {
		now := time.Now()
		for _, t := range e.mesh.Registry.Expired(now, e.mesh.TargetTimeout) {
			if e.mesh.Registry.Remove(t.Address) {
				e.mesh.Log.Emit(wharfevents.TargetExpired, wharfevents.Field{Name: "target", Value: t.Address})
				e.mesh.Announce()
			}
		}
		h := e.mesh.View.DedupWindow()
		e.mesh.Keys.Expire(now, h.Resend+h.Skew+h.Staleness)
		if now.Sub(pruned) >= pruneInterval {
			pruned = now
			e.mesh.Peers.Prune(e.wanted())
		}
	}
}

// wanted tells the addresses of live nodes from those of ended ones.
func (e *expiry) wanted() func(string) bool {
	ended := map[string]bool{}
	e.mesh.View.Members(func(t *wharfmember.Table) {
		for _, m := range t.All() {
			ended[m.Address] = m.State == wharfmember.Left
		}
	})
	return func(address string) bool { return !ended[address] }
}

// pauseDetector notices that the process was stopped for a while. What it knew of the
// log is then no longer confirmed.
type pauseDetector struct {
	mesh *Agent
}

func (p *pauseDetector) run(ctx context.Context) {
	last := time.Now()
	for wharftimer.Sleep(ctx, pauseTick) {
		now := time.Now()
		// Both clocks are compared: the one may stand still in a frozen VM
		// while the other is set forward when it wakes.
		pause := max(now.Sub(last), now.Round(0).Sub(last.Round(0)))
		last = now
		if pause < pauseThreshold {
			continue
		}
		p.mesh.View.ResetConfirmation()
		p.mesh.Log.Emit(wharfevents.PauseNoticed, wharfevents.Field{Name: "pause", Value: pause.String()})
		p.mesh.TriggerRound()
	}
}

// BroadcastSuspicions tells the nodes of a service in this failure domain about requests
// that crash targets, and returns when they know or the context ends.
func (m *Agent) BroadcastSuspicions(ctx context.Context, service string, entries []wharfquarantine.Entry) {
	request := &wharfwire.SuspectRequest{Suspicions: wharftarget.PackSuspicions(time.Now(), entries)}
	group := m.pool.NewGroup()
	for _, peer := range m.peersOf(service) {
		group.Submit(func() {
			client, err := m.Peers.Client(peer.Address)
			if err != nil {
				return
			}
			// A node that can't be reached learns of it by exchange.
			_, _ = client.Suspect(ctx, request)
		})
	}
	_ = group.Wait()
	m.TriggerRound()
}

// peersOf returns the other nodes of a service in this failure domain.
func (m *Agent) peersOf(service string) []wharfmember.Member {
	var out []wharfmember.Member
	m.View.Members(func(t *wharfmember.Table) {
		for _, member := range t.Serving(service) {
			if member.Node != m.View.Node() && member.FailureDomain == m.View.Locality().FailureDomain {
				out = append(out, member)
			}
		}
	})
	return out
}
