package wharfcluster

import (
	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

const (
	// maxRefusedMembers bounds the refused entries that are logged. Further ones aren't.
	maxRefusedMembers = 64
	// maxLoggedName bounds the part of a node ID that is kept to log it once, in bytes.
	maxLoggedName = 256
)

// receivedMembers returns the entries in a message from a peer without those that no node can
// have, which it logs once for each node.
func (a *Agent) receivedMembers(peer string, packed []*wharfwire.Member) []wharfmember.Member {
	members := unpackMembers(packed)
	kept := members[:0]
	for _, m := range members {
		if err := m.Check(); err != nil {
			a.refuseMember(peer, m.Node, err)
			continue
		}
		kept = append(kept, m)
	}
	return kept
}

func (a *Agent) refuseMember(peer, node string, err error) {
	name := node[:min(len(node), maxLoggedName)]
	a.mu.Lock()
	_, logged := a.refused[name]
	logged = logged || len(a.refused) == maxRefusedMembers
	if !logged {
		if a.refused == nil {
			a.refused = map[string]struct{}{}
		}
		a.refused[name] = struct{}{}
	}
	a.mu.Unlock()
	if logged {
		return
	}
	a.Log.Emit(wharfevents.MemberRefused,
		wharfevents.Field{Name: "node", Value: node},
		wharfevents.Field{Name: "source", Value: peer},
		wharfevents.ErrorField(err))
}
