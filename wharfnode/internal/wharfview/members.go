package wharfview

import (
	"math/rand/v2"

	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharfrouting"
)

// Members calls use with the member table while it holds the lock of the table.
// The function use must not retain the table.
func (v *View) Members(use func(t *wharfmember.Table)) {
	v.membersMu.Lock()
	defer v.membersMu.Unlock()
	use(&v.members)
}

// KnownNodes returns the number of nodes in the member table, departed nodes
// included. Unlike the number of live nodes it doesn't shrink during a network
// partition.
func (v *View) KnownNodes() int {
	v.membersMu.Lock()
	defer v.membersMu.Unlock()
	return v.members.Len()
}

// UpdateSelf changes the entry of this node and raises its version, so that
// other nodes replace the older entry by it.
func (v *View) UpdateSelf(change func(m wharfmember.Member) wharfmember.Member) {
	v.membersMu.Lock()
	m := change(v.SelfMember())
	m.Version++
	v.members.Merge(m)
	v.self.Store(&m)
	v.services.Store(int64(v.members.ServiceCount()))
	v.membersMu.Unlock()
	v.notify()
}

// MergeResult describes the effect of a merge of member entries.
type MergeResult struct {
	// Changed lists the entries that changed the table.
	Changed []wharfmember.Member
	// Replaced lists the entries of earlier processes of other nodes that had leaving targets
	// and were replaced.
	Replaced []wharfmember.Member
	// Earlier lists the received entries of earlier processes of this node.
	Earlier []wharfmember.Member
	// Refute is whether another node believes that this node is down or has
	// left.
	Refute bool
	// NewerIncarnation is the highest incarnation of this node in the received
	// entries if it is above its own, else zero. If it isn't zero, this node
	// needs a higher incarnation.
	NewerIncarnation uint64
}

// Merge merges member entries from another node. An entry of this node is only
// compared, because only this node changes its own entry.
func (v *View) Merge(members []wharfmember.Member) MergeResult {
	var result MergeResult
	v.membersMu.Lock()
	self := v.SelfMember()
	for _, m := range members {
		if m.Node == v.node {
			result.compareSelf(self, m)
			continue
		}
		old, known := v.members.Get(m.Node)
		if !v.members.Merge(m) {
			continue
		}
		result.Changed = append(result.Changed, m)
		if known && old.Incarnation < m.Incarnation && len(old.LeavingTargets()) > 0 {
			result.Replaced = append(result.Replaced, old)
		}
	}
	v.services.Store(int64(v.members.ServiceCount()))
	v.membersMu.Unlock()
	if len(result.Changed) > 0 {
		v.notify()
	}
	return result
}

// compareSelf compares a received entry of this node with its own entry.
func (r *MergeResult) compareSelf(self, received wharfmember.Member) {
	switch {
	case received.Incarnation < self.Incarnation:
		r.Earlier = append(r.Earlier, received)
	case received.Incarnation > self.Incarnation:
		r.NewerIncarnation = max(r.NewerIncarnation, received.Incarnation)
	case received.Incarnation == self.Incarnation && received.Version >= self.Version && received.State > self.State:
		r.Refute = true
	}
}

// Targets returns the targets of a service in the form that routing uses.
func (v *View) Targets(service string) []wharfrouting.Target {
	config := v.Config()
	v.membersMu.Lock()
	members := v.members.Serving(service)
	v.membersMu.Unlock()
	var out []wharfrouting.Target
	for _, m := range members {
		for _, t := range m.Targets {
			if t.Service == service {
				out = append(out, routingTarget(config, m, t))
			}
		}
	}
	return out
}

func routingTarget(config *wharfconfig.Snapshot, m wharfmember.Member, t wharfmember.Target) wharfrouting.Target {
	_, leaving := IsLeaving(config, m, t)
	return wharfrouting.Target{
		Address:       t.Address,
		Node:          m.Node,
		NodeAddress:   m.Address,
		FailureDomain: m.FailureDomain,
		Region:        m.Region,
		Slots:         t.Slots,
		Leaving:       leaving || t.Leaving || !m.AcceptsRequests(),
		Instance:      t.Incarnation(),
	}
}

// IsLeaving reports whether the configuration marks a target as leaving, and by
// which rule.
func IsLeaving(config *wharfconfig.Snapshot, m wharfmember.Member, t wharfmember.Target) (string, bool) {
	return config.IsLeaving(wharfconfig.TargetAttributes{
		Service: t.Service, Address: t.Address, Node: m.Node,
		FailureDomain: m.FailureDomain, Region: m.Region, Labels: t.Labels,
	})
}

// GossipPeers returns the peers of one gossip round: one of the nodes that this
// node monitors for failures (see wharfmember.Table.Monitored), in turn, another random
// node of the same failure domain and one of another failure domain.
func (v *View) GossipPeers(round int, rng *rand.Rand) []wharfmember.Member {
	v.membersMu.Lock()
	defer v.membersMu.Unlock()
	var out []wharfmember.Member
	var next wharfmember.Member
	if monitored := v.members.Monitored(v.node); len(monitored) > 0 {
		next = monitored[round%len(monitored)]
		out = append(out, next)
	}
	if m, ok := v.members.RandomLocal(v.node, next.Node, rng); ok {
		out = append(out, m)
	}
	if m, ok := v.members.RandomRemote(v.node, rng); ok {
		out = append(out, m)
	}
	return out
}

// MonitorCount returns how many nodes monitor a node. A node is monitored by as
// many nodes as it monitors.
func (v *View) MonitorCount(node string) int {
	v.membersMu.Lock()
	defer v.membersMu.Unlock()
	return len(v.members.Monitored(node))
}

// Member returns the entry of a node, or false if the node isn't known.
func (v *View) Member(node string) (wharfmember.Member, bool) {
	v.membersMu.Lock()
	defer v.membersMu.Unlock()
	return v.members.Get(node)
}
