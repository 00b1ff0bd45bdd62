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
)

// routes keeps one balancer for each service that was called from here. The
// zero routes is empty.
type routes struct {
	services sync.Map
}

// route is the balancer of a service under its own lock.
type route struct {
	service  string
	mu       sync.Mutex
	balancer *wharfrouting.Balancer
	repeats  wharfbudget.RepeatCounter
	version  uint64
	loaded   bool
}

func (s *routes) get(v *wharfview.View, service string) *route {
	if r, ok := s.services.Load(service); ok {
		return r.(*route)
	}
	fresh := &route{service: service, balancer: wharfrouting.NewBalancer(v.Locality())}
	r, _ := s.services.LoadOrStore(service, fresh)
	return r.(*route)
}

// known reports whether a service has targets.
func (s *routes) known(v *wharfview.View, service string) bool {
	if _, ok := s.services.Load(service); ok {
		return true
	}
	return len(v.Targets(service)) > 0
}

// refresh takes over the present targets; the caller holds the lock.
func (r *route) refresh(v *wharfview.View) {
	version := v.Version()
	if r.loaded && r.version == version {
		return
	}
	r.balancer.SetTargets(time.Now(), v.Targets(r.service))
	r.version, r.loaded = version, true
}

// pick chooses a target for an attempt.
func (r *route) pick(v *wharfview.View, q wharfrouting.Request) (wharfrouting.Target, wharfoutcome.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh(v)
	now, rng := time.Now(), wharfrandom.New()
	target, reason := r.balancer.Pick(now, rng, q)
	if reason == wharfoutcome.ReasonNone {
		return target, wharfoutcome.Outcome{}
	}
	return target, wharfoutcome.Refuse(reason).WithRetryAfter(r.balancer.RetryAfter(now, rng))
}

// observe takes the result of an attempt.
func (r *route) observe(address, kind string, result wharfrouting.Result, latency time.Duration, report *wharfrouting.LoadReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.Observe(time.Now(), address, kind, result, latency, report)
}

// serviceRefuses reports whether a refusal for overload was the last word of
// the whole service.
func (r *route) serviceRefuses(q wharfrouting.Request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	return !r.balancer.HasLowerPriorityQueued(now, q) && !r.balancer.HasCapacity(now, q)
}

// begin counts a request for the service.
func (r *route) begin(l wharfbudget.RepeatLimit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.repeats.Request(time.Now(), l)
}

// mayRepeat takes a repeat from this node's part of the limit.
func (r *route) mayRepeat(l wharfbudget.RepeatLimit, nodes int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.repeats.Allow(time.Now(), l, nodes)
}

// levelReduction returns how far the level of the service for a kind of request is
// from an open one.
func (r *route) levelReduction(kind string) uint16 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return uint16(wharfadmission.LevelOpen - r.balancer.Level(time.Now(), kind))
}

// ejected lists the targets left out at present, for the admin API.
func (r *route) ejected() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.balancer.Ejected(time.Now())
}

// Ejected lists the targets of all services that are left out at present.
func (e *Proxy) Ejected() []string {
	out := []string{}
	e.routes.services.Range(func(_, r any) bool {
		out = append(out, r.(*route).ejected()...)
		return true
	})
	return out
}
