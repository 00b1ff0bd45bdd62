package wharftarget

import (
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

// onLivenessChange takes note of a target that has fallen silent or answers again. What
// waits for a silent one is sent elsewhere.
func (g *Registry) onLivenessChange(t *target, silent bool) {
	event := wharfevents.TargetAnswers
	if silent {
		event = wharfevents.TargetSilent
		t.mu.Lock()
		t.rejectWaiting(wharfoutcome.ReasonTargetSilent)
		t.mu.Unlock()
	}
	g.log.Emit(event, wharfevents.Field{Name: "target", Value: t.address})
}
