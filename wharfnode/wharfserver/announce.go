package wharfserver

import (
	"time"

	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

// Renew takes the announcement of a target, and tells the other nodes if it
// says anything new.
func (n *Node) Renew(t wharfmember.Target) {
	if !n.registry.Renew(time.Now(), t) {
		return
	}
	n.log.Emit(wharfevents.TargetAnnounced,
		wharfevents.Field{Name: "service", Value: t.Service},
		wharfevents.Field{Name: "target", Value: t.Address},
		wharfevents.Field{Name: "instance", Value: t.Labels[wharfmember.LabelInstance]},
		wharfevents.Field{Name: "slots", Value: t.Slots})
	n.mesh.Announce()
}

// Leave makes a target take no new work from now on. It is false if the target
// isn't known.
func (n *Node) Leave(address string) bool {
	if !n.registry.Leave(address) {
		return false
	}
	target := wharfevents.Field{Name: "target", Value: address}
	n.log.Emit(wharfevents.TargetLeaving, target)
	n.mesh.Audit("target-leaving", target)
	n.mesh.Announce()
	return true
}

// HasService reports whether some route leads to a service.
func (n *Node) HasService(name string) bool {
	return n.view.State().Routes().HasService(name)
}

// Ready reports whether the node takes the requests of callers: it has a
// configuration and isn't stopping.
func (n *Node) Ready() bool {
	return n.view.State().Routes() != nil && !n.stopping.Load()
}
