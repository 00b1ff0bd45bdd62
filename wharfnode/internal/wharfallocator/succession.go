package wharfallocator

import (
	"context"
	"slices"
	"sync"
	"time"

	"ragwortwharf.dev/wharf/wharfquota"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

const (
	// waitingInterval is the interval at which a node looks for the earlier allocators of the shards
	// that it waits for, and idleInterval the one at which it looks whether there are any.
	waitingInterval = 20 * time.Millisecond
	idleInterval    = 500 * time.Millisecond
	// takeOverTimeout bounds a request to an earlier allocator.
	takeOverTimeout = 250 * time.Millisecond
)

// succession takes shards over that the node holds, from the nodes that held them before.
type succession struct {
	service *Service
	// waiting holds what is known of the earlier allocators of the shards that the node waits for.
	waiting map[int]*wharfquota.Predecessors
}

func (x *succession) run(ctx context.Context) {
	x.waiting = map[int]*wharfquota.Predecessors{}
	for ctx.Err() == nil {
		interval := idleInterval
		if x.takeOver(ctx) {
			interval = waitingInterval
		}
		timer := time.NewTimer(interval)
		select {
		case <-timer.C:
		case <-x.service.group.gained:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// takeOver asks the earlier allocators, and reports whether the node waits for any shard.
func (x *succession) takeOver(ctx context.Context) bool {
	waiting := x.service.status().Waiting
	for shard := range x.waiting {
		if !slices.Contains(waiting, shard) {
			delete(x.waiting, shard)
		}
	}
	inquiries := map[wharfquota.Claim]*inquiry{}
	var ended []int
	now := x.service.clock.Now()
	for _, shard := range waiting {
		p, ok := x.waiting[shard]
		if !ok {
			p = &wharfquota.Predecessors{}
			x.waiting[shard] = p
		}
		for _, e := range x.service.allocator.Forfeit(now, []int{shard}) {
			p.Ended(now, wharfquota.Claim{Node: x.service.View.Node()}, e)
		}
		claims, addresses := x.service.directory.claims(shard)
		for _, c := range p.Ask(now, claims) {
			if inquiries[c] == nil {
				inquiries[c] = &inquiry{service: x.service, claim: c, address: addresses[c]}
			}
			inquiries[c].shards = append(inquiries[c].shards, uint32(shard))
		}
		if p.AllEnded(now, claims) && x.service.allocator.BeginEmpty(now, shard, p) {
			ended = append(ended, shard)
		}
	}
	x.service.begun(ended, "ended")
	x.ask(ctx, inquiries)
	return len(waiting) > 0
}

// ask asks earlier allocators at the same time.
func (x *succession) ask(ctx context.Context, inquiries map[wharfquota.Claim]*inquiry) {
	if len(inquiries) == 0 {
		return
	}
	var group sync.WaitGroup
	for _, i := range inquiries {
		group.Go(func() { i.run(ctx) })
	}
	group.Wait()
	now := x.service.clock.Now()
	for c, i := range inquiries {
		for _, e := range i.ended {
			if p := x.waiting[e.Shard]; p != nil {
				p.Ended(now, c, e)
			}
		}
	}
	x.service.publish()
}

// inquiry is a request to an earlier allocator.
type inquiry struct {
	service *Service
	claim   wharfquota.Claim
	address string
	shards  []uint32
	// ended are the shards that the node was the allocator of, and isn't any more without having
	// released them.
	ended []wharfquota.Ended
}

func (i *inquiry) run(ctx context.Context) {
	s := i.service
	client, err := s.Peers.Client(i.address)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, takeOverTimeout)
	defer cancel()
	requested := s.clock.Now()
	response, err := client.TakeOver(ctx, &wharfwire.TakeOverRequest{
		From: s.View.Node(), Shards: i.shards, Incarnation: i.claim.Incarnation,
		Generation: s.allocator.Generation(int(i.shards[0])), // all were listed by the same join
	})
	if err != nil {
		return
	}
	i.ended = s.ended(response)
	taken := 0
	for _, r := range s.released(response) {
		if s.allocator.Accept(s.clock.Now(), requested, r, s.quota) {
			taken++
		}
	}
	if taken > 0 {
		s.Metrics.QuotaShards("taken-over", taken)
		s.Log.Emit(wharfevents.ShardsTakenOver,
			wharfevents.Field{Name: "node", Value: i.claim.Node},
			wharfevents.Field{Name: "shards", Value: taken})
	}
}

// begun reports that the node began to allocate shards with empty buckets.
func (s *Service) begun(shards []int, cause string) {
	if len(shards) == 0 {
		return
	}
	s.Metrics.QuotaShards("empty", len(shards))
	s.Log.Emit(wharfevents.ShardsBegunEmpty,
		wharfevents.Field{Name: "shards", Value: len(shards)},
		wharfevents.Field{Name: "cause", Value: cause})
}
