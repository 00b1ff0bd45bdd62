package wharftarget

import (
	"sync"
	"time"

	"ragwortwharf.dev/wharf/wharfadmission"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharfnode/internal/wharfview"
)

// SetLeaving makes the node refuse all new calls from now on.
func (s *Server) SetLeaving() {
	s.leaving.Store(true)
}

// SetStopTime tells the node when it ends. From now on it refuses calls that may still be
// running then, also those that wait for their target. It is called once.
func (s *Server) SetStopTime(end time.Time) {
	s.stopTime.Store(&end)
	close(s.stopSignal.channel())
}

// signal is a channel that is made when it is first used. The zero signal is ready to use.
type signal struct {
	once sync.Once
	c    chan struct{}
}

func (s *signal) channel() chan struct{} {
	s.once.Do(func() { s.c = make(chan struct{}) })
	return s.c
}

// endsBeforeStop reports whether a call ends before the node does: by its deadline or, if it
// may run twice, so that its sender can send it elsewhere, with a multiple of its usual latency.
func (s *Server) endsBeforeStop(c *call) bool {
	end := s.stopTime.Load()
	if end == nil || c.deadline.Before(*end) {
		return true
	}
	if !c.head.GetIdempotent() {
		return false
	}
	c.target.mu.Lock()
	latency := c.target.gate.UsualLatency(int(c.head.GetRank()))
	c.target.mu.Unlock()
	return wharfadmission.EndsBefore(*end, time.Now(), latency)
}

// leavingLocked reports whether the target gets no new calls; the caller holds the lock.
func (t *target) leavingLocked() bool {
	return t.leaving || t.info.Leaving
}

// checkLeaving refuses a call if the node has no target for it, or if the target or
// the node is leaving.
func (s *Server) checkLeaving(c *call) (wharfoutcome.Outcome, bool) {
	if c.target == nil {
		return wharfoutcome.Refuse(wharfoutcome.ReasonNoTarget), false
	}
	c.target.mu.Lock()
	leaving := c.target.leavingLocked()
	info := c.target.info
	c.target.mu.Unlock()
	if !leaving {
		_, leaving = wharfview.IsLeaving(c.config, s.View.SelfMember(), info)
	}
	if leaving || s.leaving.Load() || !s.endsBeforeStop(c) {
		return wharfoutcome.Refuse(wharfoutcome.ReasonLeaving), false
	}
	return wharfoutcome.Outcome{}, true
}
