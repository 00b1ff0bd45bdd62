package wharfcluster

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharftimer"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

const (
	// firstEnterPause and maxEnterPause bound the pause between attempts to
	// write the entry of this node.
	firstEnterPause = 200 * time.Millisecond
	maxEnterPause   = 5 * time.Second
	// sweepInterval is how often the entries of ended nodes are looked at.
	sweepInterval = 30 * time.Second
)

// registration keeps the directory in step with the members: this node enters
// itself, and one node chosen by hash removes those that have ended.
type registration struct {
	mesh *Agent
	rng  *rand.Rand
	// removed lists the lives that this node has removed.
	removed map[string]uint64
}

func (r *registration) run(ctx context.Context) {
	for pause := firstEnterPause; !r.enter(ctx); pause = min(2*pause, maxEnterPause) {
		if !wharftimer.Sleep(ctx, pause/2+time.Duration(r.rng.Int64N(int64(pause)))) {
			return
		}
	}
	// Nodes that start together may have found the directory empty.
	r.mesh.join(ctx)
	r.removed = map[string]uint64{}
	for wharftimer.Sleep(ctx, sweepInterval) {
		r.sweep(ctx)
	}
}

func (r *registration) enter(ctx context.Context) bool {
	err := r.mesh.Directory.Enter(ctx, r.mesh.View.SelfMember())
	if err != nil {
		r.mesh.Log.Emit(wharfevents.DirectoryUnavailable, wharfevents.ErrorField(err))
	}
	return err == nil
}

// sweep removes the entries of ended nodes that fall to this node.
func (r *registration) sweep(ctx context.Context) {
	for _, m := range r.ended() {
		if r.removed[m.Node] == m.Incarnation {
			continue
		}
		if err := r.mesh.Directory.Remove(ctx, m); err != nil {
			r.mesh.Log.Emit(wharfevents.DirectoryUnavailable, wharfevents.ErrorField(err))
			return
		}
		r.removed[m.Node] = m.Incarnation
	}
}

// ended returns the ended nodes for which this one has the highest weight among
// those alive.
func (r *registration) ended() []wharfmember.Member {
	var ended, alive []wharfmember.Member
	r.mesh.View.Members(func(t *wharfmember.Table) {
		for _, m := range t.All() {
			switch m.State {
			case wharfmember.Alive:
				alive = append(alive, m)
			case wharfmember.Left, wharfmember.Down:
				ended = append(ended, m)
			}
		}
	})
	var mine []wharfmember.Member
	for _, m := range ended {
		best, weight := "", uint64(0)
		for _, a := range alive {
			if w := xxhash.Sum64String(m.Node + "\x00" + a.Node); best == "" || w > weight {
				best, weight = a.Node, w
			}
		}
		if best == r.mesh.View.Node() {
			mine = append(mine, m)
		}
	}
	return mine
}
