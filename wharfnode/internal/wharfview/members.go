package wharfview

import (
	"math/rand/v2"

	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharfrouting"
)

// Members gives access to the table of members under its lock.
func (v *View) Members(use func(t *wharfmember.Table)) {
	v.membersMu.Lock()
	defer v.membersMu.Unlock()
	use(&v.members)
}

// KnownNodes returns how many nodes this one has ever heard of. Unlike the number
// of those alive it isn't less on one side of a cut.
func (v *View) KnownNodes() int {
	v.membersMu.Lock()
	defer v.membersMu.Unlock()
	return v.members.Len()
}

// UpdateSelf changes the entry of this node and raises its version, so that
// the change wins everywhere.
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

// MergeResult says what a merge of entries changed.
type MergeResult struct {
	Changed []wharfmember.Member
	// Refute says that others believe this node is down or has ended.
	Refute bool
	// NewerIncarnation says that an entry of this node comes from a later life, so
	// this one needs a higher incarnation.
	NewerIncarnation uint64
}

// Merge takes entries from another node. Only this node changes its own entry.
func (v *View) Merge(members []wharfmember.Member) MergeResult {
	var result MergeResult
	v.membersMu.Lock()
	self := v.SelfMember()
	for _, m := range members {
		if m.Node == v.node {
			result.compareSelf(self, m)
			continue
		}
		if v.members.Merge(m) {
			result.Changed = append(result.Changed, m)
		}
	}
	v.services.Store(int64(v.members.ServiceCount()))
	v.membersMu.Unlock()
	if len(result.Changed) > 0 {
		v.notify()
	}
	return result
}

// compareSelf compares what others believe of this node with the truth.
func (r *MergeResult) compareSelf(self, heard wharfmember.Member) {
	switch {
	case heard.Incarnation > self.Incarnation:
		r.NewerIncarnation = max(r.NewerIncarnation, heard.Incarnation)
	case heard.Incarnation == self.Incarnation && heard.Version >= self.Version && heard.State > self.State:
		r.Refute = true
	}
}

// Targets returns the targets of a service as routing sees them.
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
	_, told := IsLeaving(config, m, t)
	return wharfrouting.Target{
		Address:       t.Address,
		Node:          m.Node,
		NodeAddress:   m.Address,
		FailureDomain: m.FailureDomain,
		Region:        m.Region,
		Slots:         t.Slots,
		Leaving:       told || t.Leaving || !m.TakesWork(),
	}
}

// IsLeaving reports whether operators have told a target to leave.
func IsLeaving(config *wharfconfig.Snapshot, m wharfmember.Member, t wharfmember.Target) (string, bool) {
	return config.IsLeaving(wharfconfig.TargetAttributes{
		Service: t.Service, Address: t.Address, Node: m.Node,
		FailureDomain: m.FailureDomain, Region: m.Region, Labels: t.Labels,
	})
}

// GossipPeers returns the nodes of one round of exchanges: one of those watched,
// one random node nearby and one of another failure domain.
func (v *View) GossipPeers(round int, rng *rand.Rand) []wharfmember.Member {
	v.membersMu.Lock()
	defer v.membersMu.Unlock()
	var out []wharfmember.Member
	if watched := v.members.Monitored(v.node); len(watched) > 0 {
		out = append(out, watched[round%len(watched)])
	}
	if m, ok := v.members.RandomLocal(v.node, rng); ok {
		out = append(out, m)
	}
	if m, ok := v.members.RandomRemote(v.node, rng); ok {
		out = append(out, m)
	}
	return out
}

// MonitorCount returns how many nodes watch one node.
func (v *View) MonitorCount(node string) int {
	v.membersMu.Lock()
	defer v.membersMu.Unlock()
	return len(v.members.Monitored(node))
}

// Member returns the entry of a node.
func (v *View) Member(node string) (wharfmember.Member, bool) {
	v.membersMu.Lock()
	defer v.membersMu.Unlock()
	return v.members.Get(node)
}
