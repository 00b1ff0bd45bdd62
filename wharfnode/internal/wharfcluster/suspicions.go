package wharfcluster

import (
	"context"
	"time"

	"github.com/alitto/pond/v2"

	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharfquarantine"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/internal/wharftarget"
)

const (
	// broadcastWorkers bounds the concurrent calls that send suspicions. They have
	// workers of their own, because calls to unreachable nodes may occupy those of the
	// gossip rounds for callTimeout.
	broadcastWorkers = 32
	// broadcastQueue bounds the calls that wait for a worker.
	broadcastQueue = 4096
)

// newBroadcastPool returns the workers that send suspicions. If the queue is full, a
// suspicion is left to gossip.
func newBroadcastPool(ctx context.Context) pond.Pool {
	return pond.NewPool(broadcastWorkers, pond.WithContext(ctx), pond.WithQueueSize(broadcastQueue), pond.WithNonBlocking(true))
}

// BroadcastSuspicions sends suspicions about requests that crash targets to the other
// nodes of a service, in all failure domains. Only these nodes can dispatch such a
// request. It returns when the calls to all of them have succeeded or failed, or when the
// context ends.
func (a *Agent) BroadcastSuspicions(ctx context.Context, service string, entries []wharfquarantine.Entry) {
	group := a.broadcasts.NewGroup()
	for _, send := range a.suspicionCalls(service, entries) {
		group.Submit(func() { send(ctx) })
	}
	_ = group.Wait()
	a.TriggerRound()
}

// SendCleared tells the other nodes of a service that a request isn't suspected any more.
// It doesn't wait for them.
func (a *Agent) SendCleared(service string, e wharfquarantine.Entry) {
	for _, send := range a.suspicionCalls(service, []wharfquarantine.Entry{e}) {
		// The error means that the queue is full.
		_ = a.broadcasts.Go(func() {
			ctx, cancel := context.WithTimeout(a.broadcasts.Context(), callTimeout)
			defer cancel()
			send(ctx)
		})
	}
}

// suspicionCalls returns the calls that send suspicions, one for each other node of a
// service. A node that can't be reached gets the suspicions by gossip.
func (a *Agent) suspicionCalls(service string, entries []wharfquarantine.Entry) []func(context.Context) {
	request := &wharfwire.SuspectRequest{Suspicions: wharftarget.PackSuspicions(time.Now(), entries)}
	var calls []func(context.Context)
	for _, peer := range a.peersOf(service) {
		calls = append(calls, func(ctx context.Context) {
			client, err := a.Peers.Client(peer.Address)
			if err != nil {
				return
			}
			_, _ = client.Suspect(ctx, request)
		})
	}
	return calls
}

// peersOf returns the other nodes of a service that aren't known to be gone.
func (a *Agent) peersOf(service string) []wharfmember.Member {
	var out []wharfmember.Member
	a.View.Members(func(t *wharfmember.Table) {
		for _, m := range t.Serving(service) {
			if m.Node != a.View.Node() && (m.State == wharfmember.Alive || m.State == wharfmember.Leaving) {
				out = append(out, m)
			}
		}
	})
	return out
}
