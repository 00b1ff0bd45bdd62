package wharfcluster

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"ragwortwharf.dev/wharf/wharfmember"
)

const (
	// reprobeWindow is how long the address of an ended node is asked again. A
	// rolling restart and the mending of a cut are over by then.
	reprobeWindow = 30 * time.Second
	// reprobeRate is how often all nodes together ask one ended node in a round.
	reprobeRate = 8.0
	// maxDepartedNodes bounds the ended nodes that are kept in mind.
	maxDepartedNodes = 64
)

// departedNode is a node that ended a short while ago.
type departedNode struct {
	member wharfmember.Member
	at     time.Time
}

// departedNodes lists nodes that may come back at their addresses. While the
// directory is away, a node that starts again can't find the others; they find
// it. The zero departedNodes is empty. It isn't safe for concurrent use.
type departedNodes struct {
	all []departedNode
}

// record takes the changes of some entries.
func (d *departedNodes) record(now time.Time, changed []wharfmember.Member) {
	for _, m := range changed {
		d.all = slices.DeleteFunc(d.all, func(x departedNode) bool { return x.member.Node == m.Node })
		if m.State > wharfmember.Leaving {
			d.all = append(d.all, departedNode{m, now})
		}
	}
	if extra := len(d.all) - maxDepartedNodes; extra > 0 {
		d.all = d.all[extra:]
	}
}

// due picks those that this node asks now, among so many nodes that do so too.
func (d *departedNodes) due(now time.Time, rng *rand.Rand, nodes int) []wharfmember.Member {
	d.all = slices.DeleteFunc(d.all, func(x departedNode) bool { return now.Sub(x.at) >= reprobeWindow })
	var out []wharfmember.Member
	for _, x := range d.all {
		if rng.Float64()*float64(nodes) < reprobeRate {
			out = append(out, x.member)
		}
	}
	return out
}

// reprobes returns the ended nodes that are to be asked in this round.
func (r *rounds) reprobes() []wharfmember.Member {
	nodes := r.mesh.View.KnownNodes()
	r.mesh.mu.Lock()
	defer r.mesh.mu.Unlock()
	return r.mesh.departures.due(time.Now(), r.rng, nodes)
}

// reprobe asks at the address of an ended node whether it is back.
func (m *Agent) reprobe(ctx context.Context, ended wharfmember.Member, since uint64) {
	// Most ended nodes don't come back, so that a failure is no news.
	_ = m.exchange(ctx, ended.Address, since)
}
