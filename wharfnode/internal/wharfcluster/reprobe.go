package wharfcluster

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"ragwortwharf.dev/wharf/wharfmember"
)

const (
	// reprobeWindow is how long the address of a departed node is probed. A
	// rolling restart or the recovery from a network partition is over by then.
	reprobeWindow = 30 * time.Second
	// reprobeRate is how many probes all nodes together send to one departed
	// node in a round, on average.
	reprobeRate = 8.0
	// maxDepartedNodes bounds the departed nodes that are stored.
	maxDepartedNodes = 64
)

// departedNode is a node that recently left or was declared down.
type departedNode struct {
	member wharfmember.Member
	at     time.Time
}

// departedNodes lists departed nodes that may restart at the same address. While
// the directory is unavailable, a restarted node can't find the other nodes, so
// the other nodes probe its address. The zero departedNodes is empty. It isn't
// safe for concurrent use.
type departedNodes struct {
	all []departedNode
}

// record updates the list with changed entries. It adds nodes that departed and
// removes nodes that are alive or leaving.
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

// due returns the departed nodes that this node probes now. Each of the given
// number of nodes picks a departed node with probability reprobeRate/nodes, so
// that the total number of probes doesn't grow with the number of nodes.
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

// reprobes returns the departed nodes that this node probes in this round.
func (r *rounds) reprobes() []wharfmember.Member {
	nodes := r.agent.View.KnownNodes()
	r.agent.mu.Lock()
	defer r.agent.mu.Unlock()
	return r.agent.departed.due(time.Now(), r.rng, nodes)
}

// reprobe tries an exchange at the address of a departed node, in case a node has
// restarted there.
func (a *Agent) reprobe(ctx context.Context, departed wharfmember.Member, since uint64) {
	// Most departed nodes don't restart, so a failure is expected.
	_ = a.exchange(ctx, departed, since)
}
