package wharftarget

import (
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

// checkSilent sends calls elsewhere while the target takes no connections.
func (s *Server) checkSilent(c *call) (wharfoutcome.Outcome, bool) {
	if c.target.watch.Silent() {
		return wharfoutcome.Refuse(wharfoutcome.ReasonTargetSilent), false
	}
	return wharfoutcome.Outcome{}, true
}

// changed takes note of a target that has fallen silent or answers again.
func (g *Registry) changed(t *target, silent bool) {
	event := wharfevents.TargetAnswers
	if silent {
		event = wharfevents.TargetSilent
		t.mu.Lock()
		t.refuseWaiting(wharfoutcome.ReasonTargetSilent)
		t.mu.Unlock()
	}
	g.log.Emit(event, wharfevents.Field{Name: "target", Value: t.address})
}
