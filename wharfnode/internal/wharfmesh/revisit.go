package wharfmesh

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"ragwortwharf.dev/wharf/wharfmember"
)

const (
	// revisitTime is how long the address of an ended node is asked again. A
	// rolling restart and the mending of a cut are over by then.
	revisitTime = 30 * time.Second
	// revisitRate is how often all nodes together ask one ended node in a round.
	revisitRate = 8.0
	// maxDeparted bounds the ended nodes that are kept in mind.
	maxDeparted = 64
)

// departure is a node that ended a short while ago.
type departure struct {
	member wharfmember.Member
	at     time.Time
}

// departures lists nodes that may come back at their addresses. While the
// directory is away, a node that starts again can't find the others; they find
// it. The zero departures is empty. It isn't safe for concurrent use.
type departures struct {
	all []departure
}

// note takes the changes of some entries.
func (d *departures) note(now time.Time, changed []wharfmember.Member) {
	for _, m := range changed {
		d.all = slices.DeleteFunc(d.all, func(x departure) bool { return x.member.Node == m.Node })
		if m.State > wharfmember.Leaving {
			d.all = append(d.all, departure{m, now})
		}
	}
	if extra := len(d.all) - maxDeparted; extra > 0 {
		d.all = d.all[extra:]
	}
}

// due picks those that this node asks now, among so many nodes that do so too.
func (d *departures) due(now time.Time, rng *rand.Rand, nodes int) []wharfmember.Member {
	d.all = slices.DeleteFunc(d.all, func(x departure) bool { return now.Sub(x.at) >= revisitTime })
	var out []wharfmember.Member
	for _, x := range d.all {
		if rng.Float64()*float64(nodes) < revisitRate {
			out = append(out, x.member)
		}
	}
	return out
}

// revisits returns the ended nodes that are to be asked in this round.
func (r *rounds) revisits() []wharfmember.Member {
	nodes := r.mesh.View.NodesSeen()
	r.mesh.mu.Lock()
	defer r.mesh.mu.Unlock()
	return r.mesh.departures.due(time.Now(), r.rng, nodes)
}

// revisit asks at the address of an ended node whether it is back.
func (m *Mesh) revisit(ctx context.Context, ended wharfmember.Member, since uint64) {
	// Most ended nodes don't come back, so that a failure is no news.
	_ = m.exchange(ctx, ended.Address, since)
}
