package wharfrouting

import (
	"math/rand/v2"
	"slices"
	"time"

	"ragwortwharf.dev/wharf/wharfadmission"
	"ragwortwharf.dev/wharf/wharfoutcome"
)

// Locality is where the sending node is.
type Locality struct {
	FailureDomain string
	Region        string
}

// Request is what routing knows of a request.
type Request struct {
	// Route names the kind of request; levels are kept for each route.
	Route    string
	Rank     int
	Priority wharfadmission.Priority
	// Tried lists the targets that this request was already sent to.
	Tried []string
	// PinnedNode restricts the choice to the target of one node, if set.
	PinnedNode string
	// IgnoreLevels sends the request however the service is loaded.
	IgnoreLevels bool
	// ExposureLimit bounds the targets that may run the request.
	ExposureLimit ExposureLimit
}

// Balancer spreads the requests of a node over the targets of a service. It
// isn't safe for concurrent use; its owner holds a lock.
type Balancer struct {
	locality Locality
	states   []*targetState
	levels   []routeLevel
}

// routeLevel is the admission level that a route met at a target.
type routeLevel struct {
	target string
	route  string
	level  wharfadmission.Priority
	at     time.Time
}

// NewBalancer returns a balancer without targets.
func NewBalancer(place Locality) *Balancer {
	return &Balancer{locality: place}
}

// SetTargets replaces the list of targets and keeps what was learnt of those
// that stay.
func (b *Balancer) SetTargets(now time.Time, targets []Target) {
	first := len(b.states) == 0
	states := make([]*targetState, 0, len(targets))
	for _, t := range targets {
		s := b.find(t.Address)
		if s == nil {
			s = &targetState{added: now, hash: hashAddress(t.Address)}
			if first {
				// Nothing is known of any target, so none is newer.
				s.added = now.Add(-slowStart)
			}
		}
		s.Target = t
		states = append(states, s)
	}
	b.states = states
}

// Len returns the number of targets that aren't leaving.
func (b *Balancer) Len() int {
	n := 0
	for _, s := range b.states {
		if !s.Leaving {
			n++
		}
	}
	return n
}

func (b *Balancer) find(address string) *targetState {
	for _, s := range b.states {
		if s.Address == address {
			return s
		}
	}
	return nil
}

// Pick chooses a target, or says why there is none.
func (b *Balancer) Pick(now time.Time, rng *rand.Rand, r Request) (Target, wharfoutcome.Reason) {
	candidates := b.candidates(now, r)
	if len(candidates) == 0 {
		return Target{}, wharfoutcome.ReasonNoTarget
	}
	if !r.IgnoreLevels {
		candidates = slices.DeleteFunc(candidates, func(s *targetState) bool {
			return !b.admits(now, s, r)
		})
	}
	if len(candidates) == 0 {
		return Target{}, wharfoutcome.ReasonOverload
	}
	if len(r.Tried) > 0 {
		candidates = b.preferRoom(now, candidates, r)
	}
	candidates = r.ExposureLimit.filter(candidates, b.states)
	if len(candidates) == 0 {
		return Target{}, wharfoutcome.ReasonSuspected
	}
	s := b.cheaper(now, candidates[rng.IntN(len(candidates))], candidates[rng.IntN(len(candidates))])
	if near := b.near(rng, candidates); near != nil {
		s = b.cheaper(now, near, s)
	}
	s.inFlight++
	return s.Target, wharfoutcome.ReasonNone
}

// near returns a random candidate of the own failure domain, nil if there is none.
// Two random ones of all often miss it, and what leaves the domain costs more.
func (b *Balancer) near(rng *rand.Rand, candidates []*targetState) *targetState {
	var found *targetState
	seen := 0
	for _, s := range candidates {
		if s.FailureDomain != b.locality.FailureDomain {
			continue
		}
		seen++
		if rng.IntN(seen) == 0 {
			found = s
		}
	}
	return found
}

func (b *Balancer) cheaper(now time.Time, x, y *targetState) *targetState {
	if y.cost(now, b.locality) < x.cost(now, b.locality) {
		return y
	}
	return x
}

// candidates returns the targets that may take the request. If most of them
// are ejected, ejection is ignored.
func (b *Balancer) candidates(now time.Time, r Request) []*targetState {
	var open, all []*targetState
	for _, s := range b.states {
		if s.Leaving || slices.Contains(r.Tried, s.Address) || r.PinnedNode != "" && s.Node != r.PinnedNode {
			continue
		}
		all = append(all, s)
		if !s.ejected(now) {
			open = append(open, s)
		}
	}
	if r.PinnedNode != "" || b.inPanicMode(now) {
		return all
	}
	return open
}

// inPanicMode reports whether so many targets are ejected that ejection is ignored.
func (b *Balancer) inPanicMode(now time.Time) bool {
	ejected, total := 0, 0
	for _, s := range b.states {
		if s.Leaving {
			continue
		}
		total++
		if s.ejected(now) {
			ejected++
		}
	}
	return float64(ejected) > panicThreshold*float64(total)
}

// admits reports whether a target may take the request by its admission level.
// One that holds less important work would shed that instead.
func (b *Balancer) admits(now time.Time, s *targetState, r Request) bool {
	if s.hasLowerPriorityQueued(now, r.Rank) {
		return true
	}
	for _, l := range b.levels {
		if l.target == s.Address && l.route == r.Route {
			return now.Sub(l.at) >= reportTTL || r.Priority <= l.level
		}
	}
	return true
}

// Observe takes the result of an attempt at a target.
func (b *Balancer) Observe(now time.Time, address, route string, result Result, latency time.Duration, report *LoadReport) {
	s := b.find(address)
	if s == nil {
		return
	}
	s.inFlight = max(s.inFlight-1, 0)
	s.observe(now, result, latency)
	if report != nil {
		s.report, s.reported = *report, now
		b.recordLevel(now, address, route, report.RouteLevel)
	}
}

func (b *Balancer) recordLevel(now time.Time, address, route string, level wharfadmission.Priority) {
	b.levels = slices.DeleteFunc(b.levels, func(l routeLevel) bool {
		return now.Sub(l.at) >= reportTTL || l.target == address && l.route == route
	})
	if level < wharfadmission.LevelOpen {
		b.levels = append(b.levels, routeLevel{address, route, level, now})
	}
}

// HasLowerPriorityQueued reports whether less important work than the request still waits
// at another target, so that a refusal isn't the last word of the service.
func (b *Balancer) HasLowerPriorityQueued(now time.Time, r Request) bool {
	return slices.ContainsFunc(b.candidates(now, r), func(s *targetState) bool { return s.hasLowerPriorityQueued(now, r.Rank) })
}

// preferRoom returns those of the candidates that are known to hold less
// important work, else those known to have room, else all. A request that was
// refused goes there next, before its attempts are spent.
func (b *Balancer) preferRoom(now time.Time, candidates []*targetState, r Request) []*targetState {
	var lower, room []*targetState
	for _, s := range candidates {
		switch {
		case s.hasLowerPriorityQueued(now, r.Rank):
			lower = append(lower, s)
		case s.hasQueueRoom(now):
			room = append(room, s)
		}
	}
	switch {
	case len(lower) > 0:
		return lower
	case len(room) > 0:
		return room
	default:
		return candidates
	}
}

// HasCapacity reports whether another target is known to let more requests in, so
// that the refusal of one target isn't that of the service.
func (b *Balancer) HasCapacity(now time.Time, r Request) bool {
	return slices.ContainsFunc(b.candidates(now, r), func(s *targetState) bool { return s.hasQueueRoom(now) && b.admits(now, s, r) })
}

// Level returns the lowest level that a route met in the service, as long as
// it is fresh. A service hands it up to its own callers.
func (b *Balancer) Level(now time.Time, route string) wharfadmission.Priority {
	level, found := wharfadmission.Priority(0), 0
	for _, l := range b.levels {
		if l.route == route && now.Sub(l.at) < reportTTL {
			level = max(level, l.level)
			found++
		}
	}
	if found == 0 || found < b.Len() {
		return wharfadmission.LevelOpen
	}
	return level
}

// defaultRetryAfter is the advice where no target has given any.
const defaultRetryAfter = 500 * time.Millisecond

// RetryAfter advises when a slot of some target is likely: the shortest fresh
// advice of the targets, spread so that callers don't come back together.
func (b *Balancer) RetryAfter(now time.Time, rng *rand.Rand) time.Duration {
	advice := time.Duration(0)
	for _, s := range b.states {
		if s.fresh(now) && s.report.RetryAfter > 0 && (advice == 0 || s.report.RetryAfter < advice) {
			advice = s.report.RetryAfter
		}
	}
	if advice == 0 {
		advice = defaultRetryAfter
	}
	return wharfadmission.AddJitter(advice, rng.Float64())
}

// Ejected lists the targets that are left out at present.
func (b *Balancer) Ejected(now time.Time) []string {
	var out []string
	for _, s := range b.states {
		if s.ejected(now) {
			out = append(out, s.Address)
		}
	}
	return out
}
