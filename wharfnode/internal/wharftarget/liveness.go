package wharftarget

import (
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

// onLivenessChange logs that a target has become unresponsive or has recovered. It
// refuses the calls that wait for an unresponsive target, so that their senders can
// try another one.
func (g *Registry) onLivenessChange(t *target, unresponsive bool) {
	event := wharfevents.TargetResponsive
	if unresponsive {
		event = wharfevents.TargetUnresponsive
		t.mu.Lock()
		t.rejectWaiting(wharfoutcome.ReasonTargetUnresponsive)
		t.mu.Unlock()
	}
	g.log.Emit(event, wharfevents.Field{Name: "target", Value: t.address})
}
