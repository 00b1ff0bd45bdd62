package wharfcluster

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharfstream"
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
	// epochInterval is how often a node checks whether the log was restored from an older
	// copy, which may lack the entry of this node.
	epochInterval = 100 * time.Millisecond
	// entriesPerSecond bounds the entries that all nodes together write again after a
	// restore, below the least rate that logs allow (400 a second).
	entriesPerSecond = 250
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
	// epoch is the epoch of the log in which this node has written its entry. It isn't
	// known before the node has a state.
	epoch      uint64
	epochKnown bool
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
	swept := time.Now()
	for wharftimer.Sleep(ctx, epochInterval) {
		if r.logRestored() && !r.enterAgain(ctx) {
			return
		}
		if time.Since(swept) >= sweepInterval {
			r.sweep(ctx)
			swept = time.Now()
		}
	}
}

// logRestored reports whether the log was restored since this node has written its entry. The
// first state of a node shows the epoch in which it has started.
func (r *registration) logRestored() bool {
	offset := r.agent.View.State().Offset()
	if !r.epochKnown {
		r.epoch, r.epochKnown = wharfstream.Epoch(offset), offset > 0
	}
	return wharfstream.Epoch(offset) != r.epoch
}

// enterAgain writes the entry of this node after a restore of the log, at a random time in
// which all nodes write theirs. It returns false if the context ends first.
func (r *registration) enterAgain(ctx context.Context) bool {
	epoch := wharfstream.Epoch(r.agent.View.State().Offset())
	spread := time.Duration(r.agent.View.KnownNodes()) * time.Second / entriesPerSecond
	if !wharftimer.Sleep(ctx, time.Duration(r.rng.Float64()*float64(spread))) {
		return false
	}
	entered := r.enter(ctx) || r.retryEnter(ctx)
	if entered {
		r.epoch = epoch
		r.agent.Log.Emit(wharfevents.EntryRewritten, wharfevents.Field{Name: "epoch", Value: epoch})
	}
	return entered
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
