package wharfserver

import (
	"context"
	"time"

	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharftimer"
	"ragwortwharf.dev/wharfnode/internal/wharfproxy"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

// leaveNotice is the part of Options.Linger in which the target gets no new requests. It covers
// the usual requests in flight and a few gossip rounds.
const leaveNotice = 800 * time.Millisecond

// stopDelay is the time between the order to stop and its start, and between the send of a
// request and its arrival here, on a busy processor.
const stopDelay = 300 * time.Millisecond

// ownershipReleaseTimeout bounds the part of a planned stop that needs the log.
const ownershipReleaseTimeout = 8 * time.Second

const (
	// cutTimeout bounds how long the end of a stop waits for the handlers of the requests that it
	// has aborted, first of the calls at the target and then of the requests of callers. They end at
	// once on an idle processor.
	cutTimeout = 100 * time.Millisecond
	// cutPoll is the interval of the checks.
	cutPoll = 5 * time.Millisecond
)

// stop makes a planned stop. Callers send requests to this node until they notice that it
// isn't ready, so that it serves them until Options.Linger has passed. Its target is used for
// most of that time, too, for requests that end before the stop does. Then the node refuses
// requests for its target, so that senders choose other targets at once. It still serves the calls
// of the local service, because requests in flight need them. From Options.Linger on, requests of
// callers are refused unless they end before the stop does.
func (n *Node) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, n.settings.StopTimeout)
	defer cancel()
	began := time.Now()
	n.stopping.Store(true)
	n.proxy.SetStopping(wharfproxy.Stop{
		Began: began, Late: began.Add(n.options.Linger - stopDelay), End: began.Add(n.settings.StopTimeout),
	})
	n.target.SetStopping(began)
	n.transport.KeepCallsUntil(began.Add(n.settings.StopTimeout + cutTimeout))
	n.log.Emit(wharfevents.NodeStopping)
	n.agent.Audit("node-leaving")
	n.quotas.Stop()
	n.target.SetStopTime(began.Add(n.settings.StopTimeout))
	wharftimer.Sleep(ctx, n.options.Linger-leaveNotice)
	n.target.SetLeaving()
	n.agent.UpdateSelf(func(m wharfmember.Member) wharfmember.Member { return m.WithState(wharfmember.Leaving) })
	if !n.drain(ctx) {
		n.abortCalls()
	}
	if !n.options.NoCallerKeys {
		if err := n.releaseOwnership(ctx); err != nil {
			n.log.Emit(wharfevents.HandOverFailed, wharfevents.ErrorField(err))
		}
	}
	n.agent.UpdateSelf(func(m wharfmember.Member) wharfmember.Member { return m.WithState(wharfmember.Left) })
	wharftimer.Sleep(ctx, max(propagationTime, n.options.Linger-time.Since(began)))
	n.shutdown(ctx)
	n.transport.Close()
	n.log.Emit(wharfevents.NodeStopped)
}

// releaseOwnership ends this node's ownership of keys and hands the key records
// to the next owners. If the log is unavailable, the node waits at most
// ownershipReleaseTimeout. The next owners then don't have the records, as after
// a crash.
func (n *Node) releaseOwnership(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ownershipReleaseTimeout)
	defer cancel()
	return n.agent.ReleaseOwnership(ctx)
}

// drain waits until the target has no requests in flight or ctx is done. It returns false in
// the latter case.
func (n *Node) drain(ctx context.Context) bool {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for n.target.CallsInFlight() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			n.logAbortedRequests()
			return false
		}
	}
	return true
}

// abortCalls aborts the calls at the target. The target withdraws the calls that it has made for
// them, which must not be aborted before.
func (n *Node) abortCalls() {
	n.target.Abort()
	n.awaitCutRequests()
}

// shutdown closes the listeners and waits for the callers' requests until ctx is done. It ends
// those that are left then, so that their callers get the outcome, and closes the connections.
func (n *Node) shutdown(ctx context.Context) {
	if n.caller.Shutdown(ctx) != nil {
		n.logAbortedRequests()
		n.cutCallers()
	}
	if n.admin.Shutdown(ctx) != nil {
		_ = n.admin.Close()
	}
	n.target.Abort()
	_ = n.peer.Close()
	n.grpc.Stop()
	n.awaitCutRequests()
}

// cutCallers ends the requests of callers, waits for their responses within cutTimeout, and closes
// the connections that are left.
func (n *Node) cutCallers() {
	n.endCallers(wharfproxy.ErrStopped)
	ctx, cancel := context.WithTimeout(context.Background(), cutTimeout)
	defer cancel()
	if n.caller.Shutdown(ctx) != nil {
		_ = n.caller.Close()
	}
}

// awaitCutRequests waits until the handlers of the aborted requests have ended, each of which
// logs its request, but at most cutTimeout.
func (n *Node) awaitCutRequests() {
	for end := time.Now().Add(cutTimeout); n.proxy.InFlight()+n.target.CallsInFlight() > 0 && time.Now().Before(end); {
		time.Sleep(cutPoll)
	}
}

// logAbortedRequests logs that the stop timeout aborts requests in flight. The
// field "served" counts those of the node's targets, and "calls" those of its
// callers.
func (n *Node) logAbortedRequests() {
	n.log.Emit(wharfevents.StopTimedOut,
		wharfevents.Field{Name: "served", Value: n.target.CallsInFlight()},
		wharfevents.Field{Name: "calls", Value: n.proxy.InFlight()})
}
