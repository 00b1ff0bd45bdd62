package wharfcluster

import (
	"slices"
	"time"

	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharfwire"
)

const (
	// earlierTTL is how long the entry of an earlier process is kept. The delayed
	// announcements of a target that has left arrive within seconds.
	earlierTTL = time.Minute
	// maxEarlier bounds the entries of earlier processes that are kept.
	maxEarlier = 64
)

// departedTargets learns which targets on this VM had left before this process started.
type departedTargets interface {
	RestoreDeparted(targets []wharfmember.Target)
}

// earlierProcess is the last entry of a node's earlier process, which had targets that left.
type earlierProcess struct {
	member wharfmember.Member
	at     time.Time
}

// earlierProcesses holds the last entries of earlier processes of restarted nodes, so that a
// restarted node can learn from others which targets had left. The zero earlierProcesses is empty.
// It isn't safe for concurrent use.
type earlierProcesses struct {
	all []earlierProcess
}

// record adds entries that were replaced by those of later processes.
func (e *earlierProcesses) record(now time.Time, replaced []wharfmember.Member) {
	for _, m := range replaced {
		e.all = slices.DeleteFunc(e.all, func(x earlierProcess) bool {
			return x.member.Node == m.Node || now.Sub(x.at) >= earlierTTL
		})
		e.all = append(e.all, earlierProcess{m, now})
	}
	if extra := len(e.all) - maxEarlier; extra > 0 {
		e.all = e.all[extra:]
	}
}

// of returns the entry of a process of a node before an incarnation.
func (e *earlierProcesses) of(now time.Time, node string, incarnation uint64) (wharfmember.Member, bool) {
	for _, x := range e.all {
		if x.member.Node == node && x.member.Incarnation < incarnation && now.Sub(x.at) < earlierTTL {
			return x.member, true
		}
	}
	return wharfmember.Member{}, false
}

// packEarlier returns what an incarnation of a node needs to know of its earlier process.
func (a *Agent) packEarlier(node string, incarnation uint64) []*wharfwire.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	m, ok := a.earlier.of(time.Now(), node, incarnation)
	if !ok {
		return nil
	}
	return []*wharfwire.Member{packMember(m)}
}

// restoreDeparted passes on the targets that had left according to entries of earlier processes of
// this node.
func (a *Agent) restoreDeparted(earlier []wharfmember.Member) {
	if a.DepartedTargets == nil {
		return
	}
	for _, m := range earlier {
		if left := m.LeavingTargets(); len(left) > 0 {
			a.DepartedTargets.RestoreDeparted(left)
		}
	}
}
