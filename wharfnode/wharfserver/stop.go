package wharfserver

import (
	"context"
	"time"

	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharftimer"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

// releaseTimeout bounds the part of a planned stop that needs the log.
const releaseTimeout = 8 * time.Second

// stop ends the node as planned. New work is refused first, so that senders go
// elsewhere at once. Calls of the local service go on being served, because
// requests in flight need them.
func (n *Node) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, n.settings.StopTimeout)
	defer cancel()
	began := time.Now()
	n.stopping.Store(true)
	n.log.Emit(wharfevents.NodeStopping)
	n.mesh.Audit("node-leaving")
	n.target.SetLeaving()
	n.mesh.UpdateSelf(func(m wharfmember.Member) wharfmember.Member { return m.WithState(wharfmember.Leaving) })
	n.drain(ctx)
	if !n.parts.WithoutKeys {
		if err := n.release(ctx); err != nil {
			n.log.Emit(wharfevents.HandOverFailed, wharfevents.ErrorField(err))
		}
	}
	n.mesh.UpdateSelf(func(m wharfmember.Member) wharfmember.Member { return m.WithState(wharfmember.Left) })
	// Callers learn only after a while that the node takes no new requests.
	wharftimer.Sleep(ctx, max(propagationTime, n.parts.Linger-time.Since(began)))
	n.shutdown(ctx)
	n.peers.Close()
	n.transport.Close()
	n.log.Emit(wharfevents.NodeStopped)
}

// release gives up the ownership of keys. When the platform's log is away the
// node doesn't wait for it: its keys are then unknown to their next homes, as
// after a crash.
func (n *Node) release(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	return n.mesh.ReleaseOwnership(ctx)
}

// drain waits until the target has nothing in flight.
func (n *Node) drain(ctx context.Context) {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for n.target.Calls() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			n.logCutRequests()
			return
		}
	}
}

// shutdown closes the listeners and waits for the callers' requests.
func (n *Node) shutdown(ctx context.Context) {
	if n.caller.Shutdown(ctx) != nil {
		n.logCutRequests()
		_ = n.caller.Close()
	}
	if n.admin.Shutdown(ctx) != nil {
		_ = n.admin.Close()
	}
	_ = n.peer.Close()
	n.grpc.Stop()
}

// logCutRequests reports that the stop timeout ends requests in flight.
func (n *Node) logCutRequests() {
	n.log.Emit(wharfevents.StopCutRequests,
		wharfevents.Field{Name: "served", Value: n.target.Calls()},
		wharfevents.Field{Name: "calls", Value: n.entry.Calls()})
}
