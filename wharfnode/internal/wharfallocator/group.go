package wharfallocator

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharfquota"
	"ragwortwharf.dev/wharf/wharftimer"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

const (
	// joinInterval is the time between two joins. Six of them fit into a lease, so that some may be
	// lost.
	joinInterval = 500 * time.Millisecond
	// changeInterval is the same for changeTime after a change of the generation: until the members
	// that lose shards and those that gain them have joined again, nobody allocates the shards.
	changeInterval = 100 * time.Millisecond
	changeTime     = time.Second
	// joinTimeout bounds a join.
	joinTimeout = time.Second
	// leaveTimeout bounds the end of a membership. Without it, the membership lapses.
	leaveTimeout = time.Second
	// settleTime is how long a node that has joined the others waits until it decides whether it is
	// an allocator. Gossip has spread most entries by then.
	settleTime = 300 * time.Millisecond
	// nodesPerAllocator is the number of nodes of a failure domain that one more allocator is for.
	nodesPerAllocator = 32
	// firstGeneration is the generation of a group before any shard was assigned to another member
	// than its first one.
	firstGeneration = 1
)

// group keeps the node in the group of allocators while it is chosen for that.
type group struct {
	service *Service
	// member is true once a join was sent, until the node has left.
	member     bool
	generation uint64
	changedAt  time.Time
	// earlier is what an earlier process of the node has recorded. It counts for the first join of
	// this process, and is read before that.
	earlier record
	wasRead bool
	// failedSince is when the first of the joins that failed in a row was sent. It is zero if the
	// last one succeeded.
	failedSince time.Time
	// gained gets a value after a join that lists shards that the node waits for.
	gained chan struct{}
}

func (g *group) run(ctx context.Context) {
	select {
	case <-g.service.Cluster.Joined():
	case <-ctx.Done():
		return
	}
	if !wharftimer.Sleep(ctx, settleTime) {
		return
	}
	for ctx.Err() == nil {
		if g.ended() {
			g.leave(ctx)
			g.service.publishUntilLapsed(ctx)
			return
		}
		interval := joinInterval
		switch {
		case g.service.View.State().Routes().QuotasLimited() && g.chosen():
			interval = g.join(ctx)
		case g.member:
			g.leave(ctx)
		default:
			g.service.publish()
		}
		g.pause(ctx, interval)
	}
}

// ended reports whether the planned stop has begun.
func (g *group) ended() bool {
	select {
	case <-g.service.stopped:
		return true
	default:
		return false
	}
}

// pause waits until the next join, or until the planned stop begins.
func (g *group) pause(ctx context.Context, interval time.Duration) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-g.service.stopped:
	}
}

// join keeps the node in the group, and returns the time until the next join.
func (g *group) join(ctx context.Context) time.Duration {
	s := g.service
	if !g.wasRead {
		g.earlier, g.wasRead = s.recorder.read(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	g.member = true
	// The lease counts from before the join is sent.
	sent := s.clock.Now()
	generation, shards, err := s.Leases.Join(ctx, s.View.Node(), s.Terms.TTL, g.generation)
	received := s.clock.Now()
	g.report(sent, received, err)
	if err != nil {
		s.publish()
		return max(joinInterval-received.Sub(sent), 0)
	}
	if generation != g.generation {
		g.generation, g.changedAt = generation, received
	}
	j := wharfquota.Join{
		Sent: sent, Received: received, Generation: generation, First: generation == firstGeneration, Shards: shards,
	}
	cause := "lapsed"
	switch {
	case j.First:
		cause = "first"
	case g.earlier.generation == generation:
		j.Earlier, cause = g.earlier.shards, "restarted"
	}
	g.earlier, g.wasRead = record{}, true
	s.begun(s.allocator.Joined(j), cause)
	allocated := s.status().Allocated
	s.recorder.set(record{generation, slices.DeleteFunc(slices.Clone(shards), func(shard int) bool { return !slices.Contains(allocated, shard) })})
	s.publish()
	if len(s.status().Waiting) > 0 {
		select {
		case g.gained <- struct{}{}:
		default:
		}
	}
	if received.Sub(g.changedAt) < changeTime {
		return changeInterval
	}
	return max(joinInterval-received.Sub(sent), 0)
}

// report logs when joins begin to fail, and when they succeed again.
func (g *group) report(sent, received time.Time, err error) {
	s := g.service
	switch {
	case err != nil && g.failedSince.IsZero():
		g.failedSince = sent
		s.Log.Emit(wharfevents.LeasesUnavailable, wharfevents.ErrorField(err))
	case err == nil && !g.failedSince.IsZero():
		s.Log.Emit(wharfevents.LeasesAvailable,
			wharfevents.Field{Name: "unavailable-ms", Value: received.Sub(g.failedSince).Milliseconds()})
		g.failedSince = time.Time{}
	}
}

// leave ends the membership of the node. It grants tokens until other nodes take its shards over.
func (g *group) leave(ctx context.Context) {
	s := g.service
	s.allocator.Leave()
	if g.member {
		leaveCtx, cancel := context.WithTimeout(ctx, leaveTimeout)
		// Without a response, the membership lapses.
		_ = s.Leases.Leave(leaveCtx, s.View.Node())
		cancel()
	}
	g.member, g.generation = false, 0
	s.publish()
}

// publishUntilLapsed keeps the entry of this node up to date after it has left, while other nodes
// may take its shards over.
func (s *Service) publishUntilLapsed(ctx context.Context) {
	for len(s.status().Claims()) > 0 && wharftimer.Sleep(ctx, joinInterval) {
		s.publish()
	}
}

// chosen reports whether this node is one of the allocators of its failure domain: the first alive
// ones in the order of a hash. Nodes may disagree without harm.
func (g *group) chosen() bool {
	v := g.service.View
	self, domain := v.Node(), v.Locality().FailureDomain
	alive, before, selfAlive := 0, 0, false
	v.Members(func(t *wharfmember.Table) {
		for _, node := range t.InDomain(domain) {
			m, _ := t.Get(node)
			if m.State != wharfmember.Alive {
				continue
			}
			alive++
			selfAlive = selfAlive || node == self
			if compareAllocators(node, self) < 0 {
				before++
			}
		}
	})
	return selfAlive && before < max(alive/nodesPerAllocator, 1)
}

func compareAllocators(a, b string) int {
	return cmp.Compare(xxhash.Sum64String("allocator\x00"+a), xxhash.Sum64String("allocator\x00"+b))
}
