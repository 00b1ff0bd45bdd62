package wharftarget

import (
	"sync"
	"time"

	"ragwortwharf.dev/wharf/wharfadmission"
	"ragwortwharf.dev/wharf/wharfbudget"
	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfquarantine"
	"ragwortwharf.dev/wharfnode/internal/wharfliveness"
	"ragwortwharf.dev/wharfnode/internal/wharfrandom"
	"ragwortwharf.dev/wharfnode/wharfevents"
	"ragwortwharf.dev/wharfnode/wharfsettings"
)

// target is one target of this node. mu guards all fields except address and
// monitor.
type target struct {
	// address identifies the target and never changes.
	address string

	mu sync.Mutex
	// info is the last announcement of the target, and renewed is its time. A write
	// to info needs the lock of the registry, too.
	info wharfmember.Target
	// gate decides which calls to the target run, wait or are refused.
	gate *wharfadmission.Gate
	// shares is what the target can serve of each rank, and kinds numbers the kinds of its calls.
	shares wharfadmission.CapacityShares
	kinds  wharfadmission.WorkKinds
	// accountNames holds the names of client accounts by their hashes.
	accountNames map[uint32]string
	// refusals is what the target refuses without running it, and repeats counts the
	// requests that were sent to it and their repeats.
	refusals wharfadmission.Refusals
	repeats  wharfbudget.RepeatCounter
	// times are the service times of the target by route, meanLoad is its mean load, and slowness
	// how long work takes now, relative to the usual time, as the target states it.
	times    wharfadmission.ServiceTimes
	meanLoad wharfadmission.MeanLoad
	slowness float64
	// congestion sums up the calls since the last log line about congestion.
	congestion congestionReport
	// waiters holds the channels for the decisions on waiting calls, and inFlight
	// the dispatched requests, both by call id.
	waiters  map[uint64]chan admission
	inFlight map[uint64]inFlightRequest
	// abandoned holds the requests that the target may still run although their
	// calls have ended, oldest first.
	abandoned []abandonedRequest
	// crashes is the number of crashes of the target that this node has seen.
	crashes int
	renewed time.Time
	// leaving is true from Leave until the next announcement.
	leaving bool
	// removed is true once the target is not in the registry any more.
	removed bool
	// reservesOffset is the offset of the configuration from which the reserves of
	// the gate were set.
	reservesOffset uint64
	monitor        *wharfliveness.Monitor
}

// inFlightRequest is a request that was dispatched to a target and has not ended.
type inFlightRequest struct {
	fingerprint wharfquarantine.Fingerprint
	// crashes is the number of crashes of the target before the dispatch.
	crashes int
}

// abandonedRequest is a request that was dispatched to a target and cancelled before the
// target had responded. The target may run it until its deadline.
type abandonedRequest struct {
	fingerprint wharfquarantine.Fingerprint
	deadline    time.Time
}

// maxAbandoned bounds the abandoned requests that are kept for a target. It is above the
// number of requests that common targets run at once.
const maxAbandoned = 256

// Registry holds the targets that announced themselves to this node. It is safe for
// concurrent use.
type Registry struct {
	variant wharfsettings.Variant
	log     wharfevents.Log

	mu      sync.RWMutex
	targets []*target
}

// NewRegistry returns a registry without targets.
func NewRegistry(v wharfsettings.Variant, log wharfevents.Log) *Registry {
	return &Registry{variant: v, log: log}
}

// Announce applies an announcement of a target. It reports whether the target is new or
// was leaving, or whether the announcement differs from the last one.
func (g *Registry) Announce(now time.Time, info wharfmember.Target) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.targets {
		if t.address != info.Address {
			continue
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.info.Service != info.Service {
			// The address belongs to a target of another service now.
			t.rejectWaiting(wharfoutcome.ReasonNoTarget)
		}
		if t.info.Incarnation() != info.Incarnation() {
			t.times, t.meanLoad, t.slowness = wharfadmission.ServiceTimes{}, wharfadmission.MeanLoad{}, 0
		}
		same := wharfmember.SameTarget(t.info, info) && !t.leaving
		switch {
		case !sameIncarnation(t.info, info):
			t.renew(now, g.limiter(info.Slots))
		case t.info.Slots != info.Slots:
			t.gate.SetLimiter(g.limiter(info.Slots))
		}
		t.info, t.renewed, t.leaving = info, now, false
		return !same
	}
	t := &target{
		address:  info.Address,
		info:     info,
		gate:     wharfadmission.NewGate(g.gateConfig(info.Slots)),
		waiters:  make(map[uint64]chan admission),
		inFlight: make(map[uint64]inFlightRequest),
		renewed:  now,
	}
	t.monitor = &wharfliveness.Monitor{Address: info.Address, OnChange: func(unresponsive bool) { g.onLivenessChange(t, unresponsive) }}
	g.targets = append(g.targets, t)
	return true
}

// sameIncarnation reports whether two announcements come from one start of a target, as far as they
// tell.
func sameIncarnation(a, b wharfmember.Target) bool {
	return a.Service == b.Service && a.Labels[wharfmember.LabelInstance] == b.Labels[wharfmember.LabelInstance] &&
		a.Labels[wharfmember.LabelStarted] == b.Labels[wharfmember.LabelStarted]
}

// renew drops what was learnt of the target from its last incarnation: what it can serve, refuses and
// limits, and what it may still run. Repeats stay counted, because their limit is that of the service.
// The caller holds the lock.
func (t *target) renew(now time.Time, l wharfadmission.Limiter) {
	t.shares, t.refusals = wharfadmission.CapacityShares{}, wharfadmission.Refusals{}
	t.congestion, t.abandoned = congestionReport{}, nil
	t.apply(t.gate.Renew(now, l))
}

func (g *Registry) gateConfig(slots int) wharfadmission.Config {
	cfg := wharfadmission.Config{
		Limiter: g.limiter(slots),
		MaxWait: g.variant.MaxWait,
		Levels:  g.variant.Levels && g.variant.Limiter != "off",
		Rand:    wharfrandom.New(),
	}
	switch g.variant.QueueOrder {
	case "fifo":
		cfg.Order = wharfadmission.FIFO
	case "objective":
		cfg.Order = wharfadmission.ObjectiveOrder
	case "priority":
		cfg.Order = wharfadmission.PriorityOrder
	case "arrival":
		cfg.Order = wharfadmission.ArrivalOrder
	}
	return cfg
}

func (g *Registry) limiter(slots int) wharfadmission.Limiter {
	switch g.variant.Limiter {
	case "off":
		return wharfadmission.Unlimited{}
	case "slots":
		return wharfadmission.NewFixed(slots)
	case "gradient":
		return wharfadmission.NewGradient(slots)
	default:
		return wharfadmission.NewAIMD(slots)
	}
}

// Leave marks a target as leaving and refuses the calls that wait for it. The target
// gets no new calls until its next announcement. Leave returns false if the target is
// unknown.
func (g *Registry) Leave(address string) bool {
	t := g.find(address)
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
	t.rejectWaiting(wharfoutcome.ReasonLeaving)
	return true
}

// Remove removes a target and refuses the calls that wait for it. It returns false and does
// nothing if the target is unknown or has requests in flight.
func (g *Registry) Remove(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, t := range g.targets {
		if t.address != address {
			continue
		}
		if !t.remove() {
			return false
		}
		g.targets = append(g.targets[:i:i], g.targets[i+1:]...)
		return true
	}
	return false
}

// remove refuses the calls that wait for the target, and all that were admitted and not yet
// dispatched. It returns false and does nothing if requests are in flight.
func (t *target) remove() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.inFlight) > 0 {
		return false
	}
	t.removed = true
	t.rejectWaiting(wharfoutcome.ReasonNoTarget)
	return true
}

// Expired returns the targets whose last announcement is older than timeout.
func (g *Registry) Expired(now time.Time, timeout time.Duration) []wharfmember.Target {
	var out []wharfmember.Target
	for _, t := range g.all() {
		t.mu.Lock()
		if now.Sub(t.renewed) > timeout {
			out = append(out, t.info)
		}
		t.mu.Unlock()
	}
	return out
}

// Announced returns the targets as this node announces them to other nodes.
func (g *Registry) Announced() []wharfmember.Target {
	var out []wharfmember.Target
	for _, t := range g.all() {
		t.mu.Lock()
		info := t.info
		info.Leaving = info.Leaving || t.leaving
		t.mu.Unlock()
		out = append(out, info)
	}
	return out
}

// Status is the state of a target as shown by the admin API.
type Status struct {
	wharfmember.Target
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Limit   int `json:"limit"`
	Level   int `json:"level"`
	Crashes int `json:"crashes"`
}

// Status returns the state of all targets.
func (g *Registry) Status() []Status {
	out := []Status{}
	for _, t := range g.all() {
		t.mu.Lock()
		load := t.gate.Load()
		info := t.info
		info.Leaving = info.Leaving || t.leaving
		out = append(out, Status{
			Target: info, Running: load.Running, Queued: load.Queued,
			Limit: load.Limit, Level: int(load.Level), Crashes: t.crashes,
		})
		t.mu.Unlock()
	}
	return out
}

// all returns a copy of the list of targets.
func (g *Registry) all() []*target {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return append([]*target(nil), g.targets...)
}

// find returns the target at an address, or nil.
func (g *Registry) find(address string) *target {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for _, t := range g.targets {
		if t.address == address {
			return t
		}
	}
	return nil
}

// serving returns the target for a call: the target of the service at the address, or
// else any target of the service. It returns nil if the service has no target here.
func (g *Registry) serving(service, address string) *target {
	g.mu.RLock()
	defer g.mu.RUnlock()
	var fallback *target
	for _, t := range g.targets {
		if t.info.Service != service {
			continue
		}
		if t.address == address {
			return t
		}
		fallback = t
	}
	return fallback
}

// cancelCalls cancels the dispatches in flight to all targets with a cause.
func (g *Registry) cancelCalls(cause error) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for _, t := range g.targets {
		t.monitor.CancelCalls(cause)
	}
}
