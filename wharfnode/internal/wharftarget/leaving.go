package wharftarget

import (
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharfnode/internal/wharfview"
)

// SetLeaving makes the node refuse all new calls from now on.
func (s *Server) SetLeaving() {
	s.leaving.Store(true)
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
	if leaving || s.leaving.Load() {
		return wharfoutcome.Refuse(wharfoutcome.ReasonLeaving), false
	}
	return wharfoutcome.Outcome{}, true
}
