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
	// minEnterPause and maxEnterPause bound the exponential backoff between
	// attempts to write the entry of this node, before jitter.
	minEnterPause = 200 * time.Millisecond
	maxEnterPause = 5 * time.Second
	// sweepInterval is how often the entries of departed nodes are removed.
	sweepInterval = 30 * time.Second
)

// registration keeps the directory up to date with the members. Each node writes
// its own entry. The entry of a departed node is removed by one live node, which
// rendezvous hashing selects.
type registration struct {
	agent *Agent
	rng   *rand.Rand
	// removed holds the incarnation of each node whose entry this node has
	// removed, by node id.
	removed map[string]uint64
}

func (r *registration) run(ctx context.Context) {
	entered := r.enter(ctx)
	close(r.agent.registered)
	if !entered {
		if !r.retryEnter(ctx) {
			return
		}
		// The nodes that joined before this entry was written may not have found
		// each other.
		r.agent.join(ctx)
	}
	r.removed = map[string]uint64{}
	for wharftimer.Sleep(ctx, sweepInterval) {
		r.sweep(ctx)
	}
}

// retryEnter repeats enter until it succeeds. It returns false if the context ends
// first.
func (r *registration) retryEnter(ctx context.Context) bool {
	for pause := minEnterPause; ; pause = min(2*pause, maxEnterPause) {
		if !wharftimer.Sleep(ctx, pause/2+time.Duration(r.rng.Int64N(int64(pause)))) {
			return false
		}
		if r.enter(ctx) {
			return true
		}
	}
}

// enter writes the entry of this node. It reports whether that succeeded.
func (r *registration) enter(ctx context.Context) bool {
	err := r.agent.Directory.Register(ctx, r.agent.View.SelfMember())
	if err != nil {
		r.agent.Log.Emit(wharfevents.DirectoryUnavailable, wharfevents.ErrorField(err))
	}
	return err == nil
}

// sweep removes the directory entries of the departed nodes that are assigned to
// this node.
func (r *registration) sweep(ctx context.Context) {
	for _, m := range r.departed() {
		if r.removed[m.Node] == m.Incarnation {
			continue
		}
		if err := r.agent.Directory.Remove(ctx, m); err != nil {
			r.agent.Log.Emit(wharfevents.DirectoryUnavailable, wharfevents.ErrorField(err))
			return
		}
		r.removed[m.Node] = m.Incarnation
	}
}

// departed returns the departed nodes that are assigned to this node: those for
// which it has the highest hash weight among the live nodes.
func (r *registration) departed() []wharfmember.Member {
	var departed, alive []wharfmember.Member
	r.agent.View.Members(func(t *wharfmember.Table) {
		for _, m := range t.All() {
			switch m.State {
			case wharfmember.Alive:
				alive = append(alive, m)
			case wharfmember.Left, wharfmember.Down:
				departed = append(departed, m)
			}
		}
	})
	var assigned []wharfmember.Member
	for _, m := range departed {
		best, weight := "", uint64(0)
		for _, a := range alive {
			if w := xxhash.Sum64String(m.Node + "\x00" + a.Node); best == "" || w > weight {
				best, weight = a.Node, w
			}
		}
		if best == r.agent.View.Node() {
			assigned = append(assigned, m)
		}
	}
	return assigned
}
