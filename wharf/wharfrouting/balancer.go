package wharfrouting

import (
	"math/rand/v2"
	"slices"
	"time"

	"ragwortwharf.dev/wharf/wharfadmission"
	"ragwortwharf.dev/wharf/wharfoutcome"
)

// Locality is the failure domain and region of the sending node.
type Locality struct {
	FailureDomain string
	Region        string
}

// Request holds the properties of a request that decide its target.
type Request struct {
	// Route names the kind of request. The balancer keeps admission levels per
	// route.
	Route    string
	Rank     int
	Priority wharfadmission.Priority
	// Tried lists the addresses of the targets that the request was already
	// sent to. They are not picked again.
	Tried []string
	// PinnedNode restricts the choice to the targets of one node. Empty means
	// any node. For a pinned node, ejection is ignored.
	PinnedNode string
	// IgnoreLevels picks a target regardless of its admission level.
	IgnoreLevels bool
	// ExposureLimit bounds the set of targets that may run the request, in case
	// the request crashes its targets.
	ExposureLimit ExposureLimit
}

// Balancer distributes the requests of a node over the targets of a service.
// It is not safe for concurrent use; the caller must hold a lock.
type Balancer struct {
	locality Locality
	// weighted selects pickWeighted.
	weighted bool
	states   []*targetState
	// byAddress holds the states by the addresses of their targets.
	byAddress map[string]*targetState
	levels    []routeLevel
	// latency is the moving average of the latency of all targets, in seconds.
	latency float64
	// available, reachable and all are the buffers of candidates.
	available, reachable, all []*targetState
	// usualTimes holds the usual service times of routes.
	usualTimes usualTimes
	// weights and loads are the buffers of weigh.
	weights, loads []float64
}

// routeLevel is the admission level that a target last reported for a route.
// Levels at LevelOpen are not stored.
type routeLevel struct {
	target string
	route  string
	level  wharfadmission.Priority
	at     time.Time
}

// NewBalancer returns a balancer without targets. The sender is the locality of
// the node that sends the requests.
func NewBalancer(sender Locality) *Balancer {
	return &Balancer{locality: sender}
}

// NewWeightedBalancer returns a balancer without targets that picks by the measured speeds of
// targets and the sender's own requests in flight. Reported loads, which may be old, decide only
// whether requests leave the failure domain.
func NewWeightedBalancer(sender Locality) *Balancer {
	return &Balancer{locality: sender, weighted: true}
}

// SetTargets replaces the list of targets. For a target that was already in the
// list, the collected state is kept, unless it has started again since.
func (b *Balancer) SetTargets(now time.Time, targets []Target) {
	initial := len(b.states) == 0
	states := make([]*targetState, 0, len(targets))
	byAddress := make(map[string]*targetState, len(targets))
	for _, t := range targets {
		s := b.find(t.Address)
		if s != nil && !s.sameIncarnation(t) {
			b.dropLevels(t.Address)
			s = nil
		}
		if s == nil {
			s = &targetState{hash: hashAddress(t.Address)}
			if !initial {
				// If all targets are new to this node, none needs slow start.
				s.slowUntil = now.Add(slowStartWindow)
			}
		}
		if t.Instance == "" {
			t.Instance = s.Instance
		}
		s.Target, s.tier = t, b.locality.tier(t)
		s.updateWeight()
		states = append(states, s)
		byAddress[t.Address] = s
	}
	b.states, b.byAddress = states, byAddress
}

// Current reports whether the list has the incarnation of a target that Pick returned. A result
// of an earlier one says nothing about it.
func (b *Balancer) Current(t Target) bool {
	s := b.find(t.Address)
	return s != nil && s.sameIncarnation(t)
}

// ActiveTargets returns the number of targets that are not leaving.
func (b *Balancer) ActiveTargets() int {
	n := 0
	for _, s := range b.states {
		if !s.Leaving {
			n++
		}
	}
	return n
}

// find returns the state of a target, or nil if it is not in the list.
func (b *Balancer) find(address string) *targetState {
	return b.byAddress[address]
}

// Pick chooses a target for a request and counts the request as in flight there.
// The caller must call Observe with the result of the attempt. If no target may
// take the request, Pick returns the reason: ReasonNoTarget, ReasonOverload or
// ReasonSuspected.
func (b *Balancer) Pick(now time.Time, rng *rand.Rand, r Request) (Target, wharfoutcome.Reason) {
	candidates := b.candidates(now, r)
	if len(candidates) == 0 {
		return Target{}, wharfoutcome.ReasonNoTarget
	}
	if !r.IgnoreLevels && len(b.levels) > 0 {
		candidates = slices.DeleteFunc(candidates, func(s *targetState) bool {
			return !b.admits(now, s, r)
		})
	}
	if len(candidates) == 0 {
		return Target{}, wharfoutcome.ReasonOverload
	}
	if len(r.Tried) > 0 {
		candidates = b.preferAccepting(now, candidates, r)
	}
	candidates = r.ExposureLimit.filter(candidates, b.states)
	if len(candidates) == 0 {
		return Target{}, wharfoutcome.ReasonSuspected
	}
	s := b.pickFrom(now, rng, candidates)
	s.inFlight++
	return s.Target, wharfoutcome.ReasonNone
}

// pickFrom chooses one of the candidates, of which there is at least one.
func (b *Balancer) pickFrom(now time.Time, rng *rand.Rand, candidates []*targetState) *targetState {
	if b.weighted {
		return b.pickWeighted(now, rng, candidates)
	}
	s := b.lowerCost(now, candidates[rng.IntN(len(candidates))], candidates[rng.IntN(len(candidates))])
	if local := b.randomLocal(rng, candidates); local != nil {
		s = b.lowerCost(now, local, s)
	}
	return s
}

// randomLocal returns a random candidate of the sender's failure domain, or nil
// if there is none. It adds a third choice to the two random ones, which often
// include no target of this domain; a call to another domain costs more.
func (b *Balancer) randomLocal(rng *rand.Rand, candidates []*targetState) *targetState {
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

// lowerCost returns the target with the lower cost, x if they are equal.
func (b *Balancer) lowerCost(now time.Time, x, y *targetState) *targetState {
	if y.cost(now, b.locality, b.latency) < x.cost(now, b.locality, b.latency) {
		return y
	}
	return x
}

// candidates returns the targets that the request may be sent to: those that are
// not leaving, not tried yet and not ejected. For a pinned node it includes ejected
// targets, and in panic mode those that were not ejected as unreachable, unless all
// were. The slice is valid until the next call.
func (b *Balancer) candidates(now time.Time, r Request) []*targetState {
	available := b.available[:0]
	ejected, total := 0, 0
	for _, s := range b.states {
		if s.Leaving {
			continue
		}
		total++
		switch {
		case s.ejected(now):
			ejected++
		case r.mayTry(s):
			available = append(available, s)
		}
	}
	b.available = available
	// If the share of ejected targets is above panicThreshold, ejection is ignored.
	panicMode := float64(ejected) > panicThreshold*float64(total)
	if r.PinnedNode == "" && !panicMode {
		return available
	}
	return b.withEjected(now, r)
}

// withEjected returns the targets that the request may be sent to although they are ejected, see
// candidates.
func (b *Balancer) withEjected(now time.Time, r Request) []*targetState {
	reachable, all := b.reachable[:0], b.all[:0]
	for _, s := range b.states {
		if s.Leaving || !r.mayTry(s) {
			continue
		}
		all = append(all, s)
		if !s.ejected(now) || !s.unreachable {
			reachable = append(reachable, s)
		}
	}
	b.reachable, b.all = reachable, all
	// The sender may be partitioned from the targets that it found unreachable. A request to one
	// of them can only fail, while the others refuse what is too much for them.
	if r.PinnedNode == "" && len(reachable) > 0 {
		return reachable
	}
	return all
}

// mayTry reports whether the request has not been sent to a target yet and isn't pinned to
// another node.
func (r *Request) mayTry(s *targetState) bool {
	return !slices.Contains(r.Tried, s.Address) && (r.PinnedNode == "" || s.Node == r.PinnedNode)
}

// admits reports whether the admission level of a target, as far as it is known,
// admits the request. A target that queues less important requests admits it in
// any case, because the target sheds one of those instead.
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

// UsualLatency returns the moving average of the latency of all targets, zero before the first
// response.
func (b *Balancer) UsualLatency() time.Duration {
	return time.Duration(b.latency * float64(time.Second))
}

// Observe records the result of an attempt at a target: the latency, used for
// Responded only, and the load report of the response, nil if there was none.
// It does nothing if the target is no longer in the list.
func (b *Balancer) Observe(now time.Time, address, route string, result Result, latency time.Duration, report *LoadReport) {
	s := b.find(address)
	if s == nil {
		return
	}
	s.inFlight = max(s.inFlight-1, 0)
	s.observe(now, result, latency)
	if result == Responded {
		b.latency = smoothLatency(b.latency, latency)
		b.observeSpeed(now, s, route, latency, report)
	}
	if report != nil {
		s.report, s.reportUntil = *report, now.Add(reportTTL)
		s.observeLoad(now, report)
		b.recordLevel(now, address, route, report.RouteLevel)
	}
	s.updateWeight()
}

// recordLevel stores the level that a target reported for a route and drops
// expired levels.
func (b *Balancer) recordLevel(now time.Time, address, route string, level wharfadmission.Priority) {
	b.levels = slices.DeleteFunc(b.levels, func(l routeLevel) bool {
		return now.Sub(l.at) >= reportTTL || l.target == address && l.route == route
	})
	if level < wharfadmission.LevelOpen {
		b.levels = append(b.levels, routeLevel{address, route, level, now})
	}
}

// dropLevels drops the levels that a target has reported.
func (b *Balancer) dropLevels(address string) {
	b.levels = slices.DeleteFunc(b.levels, func(l routeLevel) bool { return l.target == address })
}

// HasLowerPriorityQueued reports whether a target that was not tried yet is known
// to queue less important requests than this one. If so, the refusal by one
// target is not final for the service.
func (b *Balancer) HasLowerPriorityQueued(now time.Time, r Request) bool {
	return slices.ContainsFunc(b.candidates(now, r), func(s *targetState) bool { return s.hasLowerPriorityQueued(now, r.Rank) })
}

// preferAccepting returns the candidates that are known to queue less important
// requests. If there are none, it returns those that are known to have queue
// capacity left, and otherwise all. A refused request tries these targets first,
// before its attempts are spent.
func (b *Balancer) preferAccepting(now time.Time, candidates []*targetState, r Request) []*targetState {
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

// HasCapacity reports whether a target that was not tried yet is known to have
// queue capacity left and admits the request. If so, the refusal by one target is
// not final for the service.
func (b *Balancer) HasCapacity(now time.Time, r Request) bool {
	return slices.ContainsFunc(b.candidates(now, r), func(s *targetState) bool { return s.hasQueueRoom(now) && b.admits(now, s, r) })
}

// Level returns the admission level of the whole service for a route: the highest
// of the levels that its targets reported within reportTTL. It returns LevelOpen
// unless there is such a level for every target. A service reports this level
// upstream to its own callers.
func (b *Balancer) Level(now time.Time, route string) wharfadmission.Priority {
	level, found := wharfadmission.Priority(0), 0
	for _, l := range b.levels {
		if l.route == route && now.Sub(l.at) < reportTTL {
			level = max(level, l.level)
			found++
		}
	}
	if found == 0 || found < b.ActiveTargets() {
		return wharfadmission.LevelOpen
	}
	return level
}

// defaultRetryAfter is the retry-after hint if no target has given one.
const defaultRetryAfter = 500 * time.Millisecond

// RetryAfter returns a retry-after hint for the service: the shortest hint in the
// current load reports of its targets. Jitter keeps callers from retrying at the
// same time.
func (b *Balancer) RetryAfter(now time.Time, rng *rand.Rand) time.Duration {
	return wharfadmission.AddJitter(b.retryAfter(now), rng.Float64())
}

// retryAfter returns the retry-after hint without jitter.
func (b *Balancer) retryAfter(now time.Time) time.Duration {
	hint := time.Duration(0)
	for _, s := range b.states {
		if s.hasCurrentReport(now) && s.report.RetryAfter > 0 && (hint == 0 || s.report.RetryAfter < hint) {
			hint = s.report.RetryAfter
		}
	}
	if hint == 0 {
		hint = defaultRetryAfter
	}
	return hint
}

// Ejected lists the addresses of the targets that are ejected at present, also in
// panic mode.
func (b *Balancer) Ejected(now time.Time) []string {
	var out []string
	for _, s := range b.states {
		if s.ejected(now) {
			out = append(out, s.Address)
		}
	}
	return out
}
