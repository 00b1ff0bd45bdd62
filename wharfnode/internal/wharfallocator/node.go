package wharfallocator

import (
	"context"
	"math"
	"time"

	"ragwortwharf.dev/wharf/wharfquota"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

// Allocate grants tokens to another node.
func (s *Service) Allocate(_ context.Context, r *wharfwire.AllocateRequest) (*wharfwire.AllocateResponse, error) {
	demands := make([]wharfquota.Demand, len(r.GetDemands()))
	for i, d := range r.GetDemands() {
		demands[i] = wharfquota.Demand{
			Account: d.GetAccount(), Tokens: int(d.GetTokens()), Returned: int(d.GetReturned()),
			GivenUp: max(finite(d.GetGivenUpPerS()), 0), Unallocated: int(d.GetUnallocated()),
		}
	}
	response := &wharfwire.AllocateResponse{Grants: make([]*wharfwire.AccountGrant, len(demands))}
	for i, g := range s.allocate(s.clock.Now(), r.GetFrom(), r.GetSequence(), demands) {
		response.Grants[i] = &wharfwire.AccountGrant{
			// Rounded up, so that the node asks once there is a token.
			Tokens: uint32(g.Tokens), RetryAfterMs: (g.RetryAfter + time.Millisecond - 1).Milliseconds(),
			NotAllocator: g.NotAllocator, Uncertain: g.Uncertain,
			AllowancePerS: g.Allowance.PerSecond, AllowanceMs: g.Allowance.For.Milliseconds(),
		}
	}
	return response, nil
}

func (s *Service) allocate(now time.Time, node string, number uint64, demands []wharfquota.Demand) []wharfquota.Grant {
	grants := s.allocator.Allocate(now, node, number, demands, s.quota)
	tokens, refused := 0, 0
	for i, g := range grants {
		tokens += g.Tokens
		if !g.NotAllocator && g.Tokens < demands[i].Tokens {
			refused++
		}
	}
	s.Metrics.QuotaGrants(tokens, refused)
	return grants
}

// TakeOver releases shards to another node. It works until the process ends.
func (s *Service) TakeOver(_ context.Context, r *wharfwire.TakeOverRequest) (*wharfwire.TakeOverResponse, error) {
	// This process may have raised its incarnation since another node got its entry.
	if r.GetIncarnation() > s.View.Incarnation() {
		return &wharfwire.TakeOverResponse{}, nil
	}
	shards := make([]int, len(r.GetShards()))
	for i, shard := range r.GetShards() {
		shards[i] = int(shard)
	}
	response := &wharfwire.TakeOverResponse{}
	released, ended := s.allocator.HandOver(s.clock.Now(), r.GetGeneration(), r.GetIncarnation() < s.process, shards)
	for _, e := range ended {
		if !e.Lapsed {
			response.Ended = append(response.Ended, uint32(e.Shard))
			continue
		}
		response.Lapsed = append(response.Lapsed, uint32(e.Shard))
		response.Levels = append(response.Levels, packLevels(e.Levels)...)
	}
	for _, shard := range released {
		response.Released = append(response.Released, uint32(shard.Shard))
		response.FillingMs = append(response.FillingMs, shard.Filling.Milliseconds())
		response.AssumedMs = append(response.AssumedMs, shard.Assumed.Milliseconds())
		response.Levels = append(response.Levels, packLevels(shard.Levels)...)
	}
	if len(released) > 0 {
		s.Metrics.QuotaShards("handed-over", len(released))
		s.Log.Emit(wharfevents.ShardsHandedOver,
			wharfevents.Field{Name: "node", Value: r.GetFrom()},
			wharfevents.Field{Name: "shards", Value: len(released)})
		s.publish()
	}
	return response, nil
}

// released returns the shards that another node has released, with their levels.
func (s *Service) released(r *wharfwire.TakeOverResponse) []wharfquota.Released {
	released := make([]wharfquota.Released, 0, len(r.GetReleased()))
	for i, shard := range r.GetReleased() {
		if i >= len(r.GetFillingMs()) || i >= len(r.GetAssumedMs()) {
			break
		}
		released = append(released, wharfquota.Released{
			Shard: int(shard), Filling: time.Duration(r.GetFillingMs()[i]) * time.Millisecond,
			Assumed: s.allowance(0, r.GetAssumedMs()[i]).For,
		})
	}
	for i := range released {
		released[i].Levels = s.levels(r, released[i].Shard)
	}
	return released
}

// ended returns the shards whose allocator has ended.
func (s *Service) ended(r *wharfwire.TakeOverResponse) []wharfquota.Ended {
	var ended []wharfquota.Ended
	for _, shard := range r.GetEnded() {
		ended = append(ended, wharfquota.Ended{Shard: int(shard)})
	}
	for _, shard := range r.GetLapsed() {
		ended = append(ended, wharfquota.Ended{Shard: int(shard), Lapsed: true, Levels: s.levels(r, int(shard))})
	}
	return ended
}

// levels returns the levels of a shard.
func (s *Service) levels(r *wharfwire.TakeOverResponse, shard int) []wharfquota.Level {
	var levels []wharfquota.Level
	for _, l := range r.GetLevels() {
		if wharfquota.ShardOf(l.GetAccount(), s.Shards) == shard {
			levels = append(levels, wharfquota.Level{
				Account: l.GetAccount(), Tokens: finite(l.GetTokens()),
				Allowance: s.allowance(l.GetAllowancePerS(), l.GetAllowanceMs()),
			})
		}
	}
	return levels
}

func packLevels(levels []wharfquota.Level) []*wharfwire.BucketLevel {
	packed := make([]*wharfwire.BucketLevel, len(levels))
	for i, l := range levels {
		packed[i] = &wharfwire.BucketLevel{
			Account: l.Account, Tokens: l.Tokens,
			AllowancePerS: l.Allowance.PerSecond, AllowanceMs: l.Allowance.For.Milliseconds(),
		}
	}
	return packed
}

// allowance returns an allowance that another node has sent. No allowance is longer than two leases.
func (s *Service) allowance(perSecond float64, ms int64) wharfquota.Allowance {
	longest := 2 * s.Terms.TTL
	return wharfquota.Allowance{
		PerSecond: max(finite(perSecond), 0),
		For:       time.Duration(min(max(ms, 0), longest.Milliseconds())) * time.Millisecond,
	}
}

// finite returns a number that another node has sent, zero if it isn't finite.
func finite(v float64) float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	return v
}
