package wharfquota

import "time"

// askInterval is the time between two requests to the same node to release a shard.
const askInterval = 250 * time.Millisecond

// claimTime is how long a node waits after the end of the earlier allocator. The tokens of that one
// expire within it, and gossip brings the claim of a node that took the shard over before the end.
// With TokenTTL alone, two nodes allocated a shard in 1 of 360 runs of the simulation.
const claimTime = time.Second

// Claim states that an incarnation of a node is or was the allocator of a shard, or waits for it.
type Claim struct {
	Node        string
	Incarnation uint64
}

// Predecessors records what the earlier holders of a shard have said that a node waits for. The
// zero Predecessors has asked nobody. It isn't safe for concurrent use.
type Predecessors struct {
	asked map[Claim]inquiry
	// ends are the ends of allocators that were reported.
	ends []reportedEnd
}

type reportedEnd struct {
	at time.Time
	Ended
}

type inquiry struct {
	at time.Time
	// endedAt is when it was known that the node isn't the allocator any more, zero if it isn't.
	endedAt time.Time
}

// Ask returns which of the nodes that claim the shard are to be asked now to release it.
func (p *Predecessors) Ask(now time.Time, claims []Claim) []Claim {
	var ask []Claim
	for _, c := range claims {
		i, ok := p.asked[c]
		if ok && (!i.endedAt.IsZero() || now.Sub(i.at) < askInterval) {
			continue
		}
		if p.asked == nil {
			p.asked = map[Claim]inquiry{}
		}
		p.asked[c] = inquiry{at: now}
		ask = append(ask, c)
	}
	return ask
}

// Ended records that a node was the allocator and has ended: another incarnation of it has
// responded, or its lease has lapsed.
func (p *Predecessors) Ended(now time.Time, c Claim, e Ended) {
	if p.asked == nil {
		p.asked = map[Claim]inquiry{}
	}
	if i := p.asked[c]; i.endedAt.IsZero() {
		i.endedAt = now
		p.asked[c] = i
		p.ends = append(p.ends, reportedEnd{now, e})
	}
}

// allowances returns the allowances that nodes may have of the earlier allocators. It returns false
// if not all of these have said.
func (p *Predecessors) allowances(now time.Time) (map[string]Allowance, bool) {
	sums := map[string]Allowance{}
	for _, e := range p.ends {
		if !e.Lapsed {
			return nil, false
		}
		for _, l := range e.Levels {
			left := l.Allowance.For - now.Sub(e.at)
			sum := sums[l.Account]
			sums[l.Account] = Allowance{PerSecond: sum.PerSecond + l.Allowance.PerSecond, For: max(sum.For, left)}
		}
	}
	return sums, true
}

// AllEnded reports whether the node that was the allocator ended at least claimTime ago. The claims
// are those known now of other nodes; an incarnation that has ended isn't among them as soon as its
// successor is known.
func (p *Predecessors) AllEnded(now time.Time, claims []Claim) bool {
	for _, c := range claims {
		if p.asked[c].endedAt.IsZero() {
			return false
		}
	}
	for _, i := range p.asked {
		if !i.endedAt.IsZero() && now.Sub(i.endedAt) >= claimTime {
			return true
		}
	}
	return false
}
