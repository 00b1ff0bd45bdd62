package wharfrouting

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ragwortwharf.dev/wharf/wharfadmission"
	"ragwortwharf.dev/wharf/wharfoutcome"
)

// Exclusion is the reason why a target isn't a candidate for a request. It is empty for a candidate.
type Exclusion string

// Reasons why a target isn't a candidate.
const (
	// ExcludedLeaving means that the target or its node takes no new requests.
	ExcludedLeaving Exclusion = "leaving"
	// ExcludedEjected means that attempts at the target have failed.
	ExcludedEjected Exclusion = "ejected"
	// ExcludedIncarnation means that another process has the address of the target now.
	ExcludedIncarnation Exclusion = "other-incarnation"
	// ExcludedUnlisted means that no node announces the target any more.
	ExcludedUnlisted Exclusion = "unlisted"
	// ExcludedLevel means that the admission level of the target rejects all requests of the rank.
	ExcludedLevel Exclusion = "admission-level"
)

// Explanation describes what a balancer would choose from for a request.
type Explanation struct {
	// Weighted is true if targets are drawn by weights, and false if the one of lower cost of two
	// random targets is chosen.
	Weighted bool
	// Reason is why no target may take the request, empty if there is a candidate. RetryAfter is the
	// retry-after hint of the service without jitter.
	Reason     wharfoutcome.Reason
	RetryAfter time.Duration
	// Targets lists the candidates, the most probable ones first, and then the excluded targets.
	Targets []TargetExplanation
}

// TargetExplanation describes what a balancer knows of a target.
type TargetExplanation struct {
	Target    Target
	Exclusion Exclusion
	// EjectedUntil is the end of the ejection, zero if the target isn't ejected. A candidate may be
	// ejected if most targets are. Unreachable is true if the last attempt didn't reach its node.
	EjectedUntil time.Time
	Unreachable  bool
	// InFlight is the number of requests that the sender has in flight at the target.
	InFlight int
	// Report is the last load report, and ReportedAt its time, zero if there is none. Current is false
	// if the report is too old to be relied upon.
	Report     LoadReport
	ReportedAt time.Time
	Current    bool
	// LossRate is the share of responses that the target loses.
	LossRate float64
	// SlowUntil is the end of the slow start, zero if the target isn't new.
	SlowUntil time.Time
	// AdmittedShare is the share of the requests of the rank that the admission level admits.
	AdmittedShare float64
	// Speed is the measured speed relative to the other targets, zero if it isn't known, and
	// DrawShare the share of the draws that hit the target. Both are for weighted balancing.
	Speed, DrawShare float64
	// Cost is the estimated cost of the next request. It is zero with weighted balancing.
	Cost float64
}

// Explain describes the choice that Pick would make for a request if SetTargets were called first.
// It changes nothing. The priority of the request is taken to be the most important of its rank.
func (b *Balancer) Explain(now time.Time, targets []Target, r Request) Explanation {
	c := b.clone()
	dropped := c.explainDropped(now, targets, r)
	c.SetTargets(now, targets)
	r.Priority = wharfadmission.PriorityOf(r.Rank, 0)
	e := Explanation{Weighted: c.weighted, RetryAfter: c.retryAfter(now)}
	candidates := slices.Clone(c.candidates(now, r))
	reachable := len(candidates) > 0
	if !r.IgnoreLevels {
		candidates = slices.DeleteFunc(candidates, func(s *targetState) bool { return !c.admits(now, s, r) })
	}
	switch {
	case !reachable:
		e.Reason = wharfoutcome.ReasonNoTarget
	case len(candidates) == 0:
		e.Reason = wharfoutcome.ReasonOverload
	}
	e.Targets = c.explainCandidates(now, candidates, r)
	for _, s := range c.states {
		if !slices.Contains(candidates, s) {
			e.Targets = append(e.Targets, c.explainExcluded(now, s, r))
		}
	}
	e.Targets = append(e.Targets, dropped...)
	return e
}

// clone returns a copy that shares nothing that its methods change.
func (b *Balancer) clone() *Balancer {
	c := *b
	c.available, c.reachable, c.all, c.weights, c.loads = nil, nil, nil, nil, nil
	c.levels, c.usualTimes = slices.Clone(b.levels), slices.Clone(b.usualTimes)
	c.byAddress = maps.Clone(b.byAddress)
	c.states = make([]*targetState, len(b.states))
	for i, s := range b.states {
		state := *s
		c.states[i] = &state
		if c.byAddress[s.Address] == s {
			c.byAddress[s.Address] = &state
		}
	}
	return &c
}

// explainDropped describes the targets whose state SetTargets would drop.
func (b *Balancer) explainDropped(now time.Time, targets []Target, r Request) []TargetExplanation {
	var out []TargetExplanation
	for _, s := range b.states {
		sameAddress := func(t Target) bool { return t.Address == s.Address }
		x := b.explainTarget(now, s, r)
		switch {
		case slices.ContainsFunc(targets, func(t Target) bool { return sameAddress(t) && s.sameIncarnation(t) }):
			continue
		case slices.ContainsFunc(targets, sameAddress):
			x.Exclusion = ExcludedIncarnation
		default:
			x.Exclusion = ExcludedUnlisted
		}
		out = append(out, x)
	}
	return out
}

// explainCandidates describes the candidates, the most probable ones first.
func (b *Balancer) explainCandidates(now time.Time, candidates []*targetState, r Request) []TargetExplanation {
	if len(candidates) == 0 {
		return nil
	}
	if b.weighted {
		b.weigh(now, candidates)
	}
	out := make([]TargetExplanation, len(candidates))
	before := 0.0
	for i, s := range candidates {
		out[i] = b.explainTarget(now, s, r)
		if !b.weighted {
			out[i].Cost = s.cost(now, b.locality, b.latency)
			continue
		}
		out[i].DrawShare = (b.weights[i] - before) / b.weights[len(b.weights)-1]
		before = b.weights[i]
	}
	slices.SortStableFunc(out, func(x, y TargetExplanation) int {
		return cmp.Or(cmp.Compare(y.DrawShare, x.DrawShare), cmp.Compare(x.Cost, y.Cost))
	})
	return out
}

// explainExcluded describes a target that isn't a candidate.
func (b *Balancer) explainExcluded(now time.Time, s *targetState, r Request) TargetExplanation {
	x := b.explainTarget(now, s, r)
	switch {
	case s.Leaving:
		x.Exclusion = ExcludedLeaving
	case s.ejected(now):
		x.Exclusion = ExcludedEjected
	default:
		x.Exclusion = ExcludedLevel
	}
	return x
}

func (b *Balancer) explainTarget(now time.Time, s *targetState, r Request) TargetExplanation {
	x := TargetExplanation{
		Target: s.Target, Unreachable: s.unreachable, InFlight: s.inFlight,
		Report: s.report, Current: s.hasCurrentReport(now), LossRate: s.lossRate(now),
		AdmittedShare: b.admittedShare(now, s, r),
	}
	if s.ejected(now) {
		x.EjectedUntil = s.ejectedUntil
	}
	if now.Before(s.slowUntil) {
		x.SlowUntil = s.slowUntil
	}
	if !s.reportUntil.IsZero() {
		x.ReportedAt = s.reportUntil.Add(-reportTTL)
	}
	if b.weighted && s.slowness > 0 {
		x.Speed = 1 / s.slowness
	}
	return x
}

// admittedShare returns the share of the requests of the rank that the admission level of a target
// admits.
func (b *Balancer) admittedShare(now time.Time, s *targetState, r Request) float64 {
	if r.IgnoreLevels || s.hasLowerPriorityQueued(now, r.Rank) {
		return 1
	}
	for _, l := range b.levels {
		if l.target == s.Address && l.route == r.Route && now.Sub(l.at) < reportTTL {
			return l.level.ShareOf(r.Rank)
		}
	}
	return 1
}
