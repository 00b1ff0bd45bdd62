package wharfserver

import (
	"time"

	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

// AnnounceTarget processes the announcement of a target. It logs the announcement and
// announces the target to the other nodes if the announcement changes anything.
func (n *Node) AnnounceTarget(t wharfmember.Target) {
	if !n.registry.Announce(time.Now(), t) {
		return
	}
	n.log.Emit(wharfevents.TargetAnnounced,
		wharfevents.Field{Name: "service", Value: t.Service},
		wharfevents.Field{Name: "target", Value: t.Address},
		wharfevents.Field{Name: "instance", Value: t.Labels[wharfmember.LabelInstance]},
		wharfevents.Field{Name: "slots", Value: t.Slots})
	n.agent.Announce()
}

// SetTargetLeaving stops the dispatch of new requests to a target. It reports
// whether the target is known.
func (n *Node) SetTargetLeaving(address string) bool {
	if !n.registry.Leave(address) {
		return false
	}
	target := wharfevents.Field{Name: "target", Value: address}
	n.log.Emit(wharfevents.TargetLeaving, target)
	n.agent.Audit("target-leaving", target)
	n.agent.Announce()
	return true
}

// TargetSaysLeaving stops the dispatch of new requests to a target that said in a response
// that it leaves.
func (n *Node) TargetSaysLeaving(instance, address string) {
	if n.options.LeavingTargets != nil {
		n.options.LeavingTargets.TargetSaysLeaving(instance, address)
		return
	}
	n.SetTargetLeaving(address)
}

// HasService reports whether a route leads to the service.
func (n *Node) HasService(name string) bool {
	return n.view.State().Routes().HasService(name)
}

// Ready reports whether callers should send requests to this node: it has routes
// and isn't stopping. A stopping node still serves callers for Options.Linger.
func (n *Node) Ready() bool {
	return n.view.State().Routes() != nil && !n.stopping.Load()
}
