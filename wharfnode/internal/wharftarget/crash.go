package wharftarget

import (
	"cmp"
	"context"
	"errors"
	"time"

	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfquarantine"
	"ragwortwharf.dev/wharf/wharfsocket"
	"ragwortwharf.dev/wharfnode/internal/wharfliveness"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

const (
	// staleIdleTime is the idle time of a connection after which its loss doesn't
	// mean that the target crashed, if the target still accepts new connections.
	staleIdleTime = time.Second
	// probeTimeout bounds the probe of a target whose connection was lost.
	probeTimeout = 200 * time.Millisecond
	// broadcastTimeout bounds how long a response waits until the other nodes have
	// received the suspicions after a crash.
	broadcastTimeout = 300 * time.Millisecond
)

// failureOutcome returns the outcome of a dispatch without a response. It also reports
// a crash of the target if nothing else explains the failure.
func (s *Server) failureOutcome(c *call, ctx context.Context, conn connection, err error) wharfoutcome.Outcome {
	reason := c.endReason(ctx)
	if !conn.established() {
		// No connection was established, so nothing was sent.
		return wharfoutcome.Refuse(cmp.Or(reason, wharfoutcome.ReasonUnreachable))
	}
	c.arrived = true
	if reason != wharfoutcome.ReasonNone {
		return wharfoutcome.Uncertain(reason)
	}
	s.Log.Emit(wharfevents.DispatchFailed,
		wharfevents.Field{Name: "target", Value: c.target.address},
		wharfevents.ErrorField(err))
	if (conn.idle > staleIdleTime || s.CrashedTargetRefusesConnections) && s.acceptsConnections(c) {
		return wharfoutcome.Uncertain(wharfoutcome.ReasonResponseLost)
	}
	s.reportCrash(c)
	return wharfoutcome.Uncertain(wharfoutcome.ReasonTargetCrashed)
}

// truncationOutcome returns the outcome of a dispatch whose response was truncated.
// senderLost is true if sending the response failed. truncationOutcome also reports a
// crash of the target if nothing else explains the failure.
func (s *Server) truncationOutcome(c *call, ctx context.Context, senderLost bool) wharfoutcome.Outcome {
	reason := c.endReason(ctx)
	if reason == wharfoutcome.ReasonNone && senderLost {
		reason = wharfoutcome.ReasonCancelled
	}
	if reason != wharfoutcome.ReasonNone {
		return wharfoutcome.Uncertain(reason)
	}
	if s.CrashedTargetRefusesConnections && s.acceptsConnections(c) {
		return wharfoutcome.Uncertain(wharfoutcome.ReasonResponseIncomplete)
	}
	s.reportCrash(c)
	return wharfoutcome.Uncertain(wharfoutcome.ReasonTargetCrashed)
}

// endReason returns why the node or the sender ended a call, or ReasonNone if neither
// did, so that a failed dispatch is due to the target.
func (c *call) endReason(ctx context.Context) wharfoutcome.Reason {
	switch {
	case !time.Now().Before(c.deadline):
		return wharfoutcome.ReasonDeadline
	case errors.Is(context.Cause(ctx), wharfliveness.ErrUnresponsive):
		return wharfoutcome.ReasonTargetUnresponsive
	case errors.Is(context.Cause(ctx), errSecondSend):
		return wharfoutcome.ReasonNone
	case errors.Is(context.Cause(ctx), errStopped):
		c.stopped = true
		return wharfoutcome.ReasonResponseLost
	case ctx.Err() != nil:
		return wharfoutcome.ReasonCancelled
	case c.body.aborted.Load():
		return wharfoutcome.ReasonBodyIncomplete
	default:
		return wharfoutcome.ReasonNone
	}
}

// acceptsConnections reports whether the target accepts a new connection, which rules out
// a crash, and logs that.
func (s *Server) acceptsConnections(c *call) bool {
	accepts := wharfsocket.CanConnect(c.ctx, c.target.address, probeTimeout)
	if accepts {
		s.Log.Emit(wharfevents.CrashRuledOut,
			wharfevents.Field{Name: "target", Value: c.target.address},
			c.requestField(),
			fingerprintField(c.fingerprint))
	}
	return accepts
}

// reportCrash records a crash of the target, marks the requests in flight as suspects
// and sends the suspicions to the other nodes of the service, before the sender of
// the call can retry it.
func (s *Server) reportCrash(c *call) {
	fingerprints := c.target.recordCrash(c)
	if fingerprints == nil {
		return
	}
	number := int(s.crashes.Add(1))
	address := c.target.address
	s.Log.Emit(wharfevents.TargetCrashed,
		wharfevents.Field{Name: "target", Value: address},
		wharfevents.Field{Name: "number", Value: number},
		c.requestField(),
		fingerprintField(c.fingerprint),
		wharfevents.Field{Name: "in-flight", Value: len(fingerprints)})
	s.Metrics.TargetCrash()
	id := wharfquarantine.CrashID{Target: address, Incarnation: s.View.Incarnation(), Number: number}
	entries := s.Quarantine.RecordCrash(time.Now(), id, fingerprints)
	s.reportQuarantined(entries)
	s.broadcast(c, entries)
}

// broadcast sends quarantine entries to the other nodes of the service before the
// response is sent. It waits at most broadcastTimeout, and it continues if the call is
// cancelled.
func (s *Server) broadcast(c *call, entries []wharfquarantine.Entry) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), broadcastTimeout)
	defer cancel()
	s.Broadcaster.BroadcastSuspicions(ctx, c.head.GetService(), entries)
}

// reportQuarantined writes a log line and an audit record for each entry that is
// quarantined.
func (s *Server) reportQuarantined(entries []wharfquarantine.Entry) {
	for _, e := range entries {
		if !e.Quarantined {
			continue
		}
		fp := fingerprintField(e.Fingerprint)
		s.Log.Emit(wharfevents.RequestQuarantined, fp)
		s.Auditor.Audit("quarantine", fp)
	}
}

// recordSuccess clears the suspicion of a request that completed without a crash.
func (s *Server) recordSuccess(c *call) {
	if e, cleared := s.Quarantine.RecordSuccess(time.Now(), c.fingerprint); cleared {
		s.Log.Emit(wharfevents.SuspicionCleared,
			c.requestField(),
			fingerprintField(c.fingerprint))
		s.Broadcaster.SendCleared(c.head.GetService(), e)
	}
}
