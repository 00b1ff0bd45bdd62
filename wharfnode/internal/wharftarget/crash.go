package wharftarget

import (
	"cmp"
	"context"
	"errors"
	"strconv"
	"time"

	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfquarantine"
	"ragwortwharf.dev/wharf/wharfsocket"
	"ragwortwharf.dev/wharfnode/internal/wharfliveness"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

const (
	// staleIdle is the idle time after which a lost connection says nothing of
	// the target if it still accepts new ones.
	staleIdle = time.Second
	// probeTimeout bounds the probe of a target whose connection broke.
	probeTimeout = 200 * time.Millisecond
	// broadcastTimeout bounds how long an answer waits for others to learn of a
	// crash.
	broadcastTimeout = 300 * time.Millisecond
)

// failed decides what a dispatch without an answer means.
func (s *Server) failed(c *call, ctx context.Context, conn connection, err error) wharfoutcome.Outcome {
	excuse := c.endReason(ctx)
	if !conn.got() {
		// There never was a connection, so nothing was sent.
		return wharfoutcome.Refuse(cmp.Or(excuse, wharfoutcome.ReasonUnreachable))
	}
	c.arrived = true
	if excuse != wharfoutcome.ReasonNone {
		return wharfoutcome.Uncertain(excuse)
	}
	s.Log.Emit(wharfevents.DispatchFailed,
		wharfevents.Field{Name: "target", Value: c.target.address},
		wharfevents.ErrorField(err))
	if (conn.idle > staleIdle || s.RefusesAfterCrash) && s.accepts(c) {
		return wharfoutcome.Uncertain(wharfoutcome.ReasonAnswerLost)
	}
	s.reportCrash(c)
	return wharfoutcome.Uncertain(wharfoutcome.ReasonTargetCrashed)
}

// brokeOff decides what an answer that ended early means.
func (s *Server) brokeOff(c *call, ctx context.Context, senderLost bool) wharfoutcome.Outcome {
	excuse := c.endReason(ctx)
	if excuse == wharfoutcome.ReasonNone && senderLost {
		excuse = wharfoutcome.ReasonCancelled
	}
	if excuse != wharfoutcome.ReasonNone {
		return wharfoutcome.Uncertain(excuse)
	}
	if s.RefusesAfterCrash && s.accepts(c) {
		return wharfoutcome.Uncertain(wharfoutcome.ReasonAnswerIncomplete)
	}
	s.reportCrash(c)
	return wharfoutcome.Uncertain(wharfoutcome.ReasonTargetCrashed)
}

// endReason names what ended a dispatch, if it wasn't the target.
func (c *call) endReason(ctx context.Context) wharfoutcome.Reason {
	switch {
	case !time.Now().Before(c.deadline):
		return wharfoutcome.ReasonDeadline
	case errors.Is(context.Cause(ctx), wharfliveness.ErrUnresponsive):
		return wharfoutcome.ReasonTargetSilent
	case ctx.Err() != nil:
		return wharfoutcome.ReasonCancelled
	case c.body.broken.Load():
		return wharfoutcome.ReasonBodyIncomplete
	default:
		return wharfoutcome.ReasonNone
	}
}

// accepts reports whether the target takes new connections.
func (s *Server) accepts(c *call) bool {
	return wharfsocket.CanConnect(c.ctx, c.target.address, probeTimeout)
}

// reportCrash makes the requests in flight suspects, and tells the other nodes of
// the service before the sender can try again.
func (s *Server) reportCrash(c *call) {
	fingerprints, crash := c.target.recordCrash(c)
	if fingerprints == nil {
		return
	}
	address := c.target.address
	s.Log.Emit(wharfevents.TargetCrashed,
		wharfevents.Field{Name: "target", Value: address},
		wharfevents.Field{Name: "in-flight", Value: len(fingerprints)})
	id := wharfquarantine.CrashID{Target: address, Incarnation: s.View.Incarnation(), Number: crash}
	entries := s.Quarantine.RecordCrash(time.Now(), id, fingerprints)
	s.reportQuarantined(entries)
	s.broadcast(c, entries)
}

// broadcast tells the other nodes of the service before the answer goes on.
func (s *Server) broadcast(c *call, entries []wharfquarantine.Entry) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), broadcastTimeout)
	defer cancel()
	s.Broadcaster.BroadcastSuspicions(ctx, c.head.GetService(), entries)
}

func (s *Server) reportQuarantined(entries []wharfquarantine.Entry) {
	for _, e := range entries {
		if !e.Quarantined {
			continue
		}
		fp := wharfevents.Field{Name: "fingerprint", Value: strconv.FormatUint(uint64(e.Fingerprint), 16)}
		s.Log.Emit(wharfevents.RequestQuarantined, fp)
		s.Auditor.Audit("quarantine", fp)
	}
}

// recordSuccess forgives a suspected request that ran without harm.
func (s *Server) recordSuccess(c *call) {
	if e, forgiven := s.Quarantine.RecordSuccess(time.Now(), c.fingerprint); forgiven {
		s.broadcast(c, []wharfquarantine.Entry{e})
	}
}
