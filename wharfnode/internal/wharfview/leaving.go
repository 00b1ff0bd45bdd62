package wharfview

import (
	"slices"

	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharfrouting"
)

// LeavingCause returns why a target takes no new requests, empty if that isn't known: the state of its
// node, the rule that selects it, or its own announcement.
func (v *View) LeavingCause(x wharfrouting.Target) string {
	m, ok := v.Member(x.Node)
	if !ok {
		return ""
	}
	if !m.AcceptsRequests() {
		return "node is " + m.State.String()
	}
	i := slices.IndexFunc(m.Targets, func(t wharfmember.Target) bool { return t.Address == x.Address })
	if i < 0 {
		return ""
	}
	if rule, leaving := IsLeaving(v.Config(), m, m.Targets[i]); leaving {
		return "by rule " + rule
	}
	if m.Targets[i].Leaving {
		return "announced"
	}
	return ""
}
