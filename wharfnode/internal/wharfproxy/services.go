package wharfproxy

import (
	"sync"
	"time"

	"ragwortwharf.dev/wharf/wharfadmission"
	"ragwortwharf.dev/wharf/wharfbudget"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfrouting"
	"ragwortwharf.dev/wharfnode/internal/wharfrandom"
	"ragwortwharf.dev/wharfnode/internal/wharfview"
	"ragwortwharf.dev/wharfnode/wharfsettings"
)

// serviceStates holds the state of each service that was called through this
// node. The zero serviceStates is empty and ready to use. It is safe for
// concurrent use.
type serviceStates struct {
	states sync.Map
}

// serviceState holds the balancer and the repeat counter of one service, both
// guarded by mu.
type serviceState struct {
	service  string
	mu       sync.Mutex
	balancer *wharfrouting.Balancer
	repeats  wharfbudget.RepeatCounter
	// version is the version of the view whose targets the balancer has, valid
	// if loaded is true.
	version uint64
	loaded  bool
}

// service returns the state of a service and creates it if necessary.
func (p *Proxy) service(name string) *serviceState {
	if value, ok := p.services.states.Load(name); ok {
		return value.(*serviceState)
	}
	created := &serviceState{service: name, balancer: newBalancer(p.Variant, p.View.Locality())}
	value, _ := p.services.states.LoadOrStore(name, created)
	return value.(*serviceState)
}

// newBalancer returns the balancer that the settings select.
func newBalancer(v wharfsettings.Variant, l wharfrouting.Locality) *wharfrouting.Balancer {
	if v.Balancing == "weighted" {
		return wharfrouting.NewWeightedBalancer(l)
	}
	return wharfrouting.NewBalancer(l)
}

// known reports whether a service was called before or has targets.
func (s *serviceStates) known(v *wharfview.View, service string) bool {
	if _, ok := s.states.Load(service); ok {
		return true
	}
	return len(v.Targets(service)) > 0
}

// refresh updates the targets of the balancer if the view has changed. The
// caller holds the lock.
func (s *serviceState) refresh(v *wharfview.View) {
	version := v.Version()
	if s.loaded && s.version == version {
		return
	}
	s.balancer.SetTargets(time.Now(), v.Targets(s.service))
	s.version, s.loaded = version, true
}

// pick chooses a target for an attempt. If there is none, the address of the
// target is empty and the outcome has the reason.
func (s *serviceState) pick(v *wharfview.View, q wharfrouting.Request) (wharfrouting.Target, wharfoutcome.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(v)
	now, rng := time.Now(), wharfrandom.New()
	target, reason := s.balancer.Pick(now, rng, q)
	if reason == wharfoutcome.ReasonNone {
		return target, wharfoutcome.Outcome{}
	}
	return target, wharfoutcome.Refuse(reason).WithRetryAfter(s.balancer.RetryAfter(now, rng))
}

// observe passes the result of an attempt to the balancer, unless the target has started again
// since it was picked. The report may be nil.
func (s *serviceState) observe(target wharfrouting.Target, route string, result wharfrouting.Result, latency time.Duration, report *wharfrouting.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.balancer.Current(target) {
		s.balancer.Observe(time.Now(), target.Address, route, result, latency, report)
	}
}

// usualLatency returns the moving average of the latency of the service, zero if there is none.
func (s *serviceState) usualLatency() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.UsualLatency()
}

// noAlternative reports whether a refusal for overload is final for a request. This
// is so if no target that the request may still try could accept it. A target could
// accept it if it is known to admit the request and to have queue capacity left, or
// to have a less important request in its queue, which it would shed first.
func (s *serviceState) noAlternative(q wharfrouting.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	return !s.balancer.HasLowerPriorityQueued(now, q) && !s.balancer.HasCapacity(now, q)
}

// countRequest counts a request for the service, which raises the number of
// repeats allowed. A repeat is an attempt for a request that an earlier attempt may
// have brought to a target.
func (s *serviceState) countRequest(l wharfbudget.RepeatLimit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.repeats.Request(time.Now(), l)
}

// allowRepeat takes one repeat from this node's share of the limit. It returns
// false if the share is used up.
func (s *serviceState) allowRepeat(l wharfbudget.RepeatLimit, nodes int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.repeats.Allow(time.Now(), l, nodes)
}

// levelReduction returns how far the admission level of the service for a route
// is below LevelOpen, the level at which every request is admitted.
func (s *serviceState) levelReduction(route string) uint16 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return uint16(wharfadmission.LevelOpen - s.balancer.Level(time.Now(), route))
}

// ejected returns the addresses of the targets that are ejected now.
func (s *serviceState) ejected() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Ejected(time.Now())
}

// Ejected returns the addresses of the ejected targets of all services. It is
// never nil.
func (p *Proxy) Ejected() []string {
	out := []string{}
	p.services.states.Range(func(_, s any) bool {
		out = append(out, s.(*serviceState).ejected()...)
		return true
	})
	return out
}
