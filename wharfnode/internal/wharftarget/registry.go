package wharftarget

import (
	"sync"
	"time"

	"ragwortwharf.dev/wharf/wharfadmission"
	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfquarantine"
	"ragwortwharf.dev/wharfnode/internal/wharfliveness"
	"ragwortwharf.dev/wharfnode/internal/wharfrandom"
	"ragwortwharf.dev/wharfnode/wharfevents"
	"ragwortwharf.dev/wharfnode/wharfsettings"
)

// target is one target of this node. Each has its own lock.
type target struct {
	// address identifies the target and never changes.
	address string

	mu         sync.Mutex
	info       wharfmember.Target
	gate       *wharfadmission.Gate
	waiters    map[uint64]chan admission
	inFlight   map[uint64]inFlightRequest
	crashes    int
	renewed    time.Time
	leaving    bool
	configured uint64
	monitor    *wharfliveness.Monitor
}

// inFlightRequest is a request that was dispatched to a target.
type inFlightRequest struct {
	fingerprint wharfquarantine.Fingerprint
	// crashes is the number of crashes before the dispatch.
	crashes int
}

// Registry holds the targets that announced themselves to this node.
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

// Renew takes an announcement, and reports whether it says anything new.
func (g *Registry) Renew(now time.Time, info wharfmember.Target) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.targets {
		if t.address != info.Address {
			continue
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		same := wharfmember.SameTarget(t.info, info) && !t.leaving
		if t.info.Slots != info.Slots {
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
	t.monitor = &wharfliveness.Monitor{Address: info.Address, OnChange: func(silent bool) { g.onLivenessChange(t, silent) }}
	g.targets = append(g.targets, t)
	return true
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
		cfg.Order = wharfadmission.Objective
	case "arrival":
		cfg.Order = wharfadmission.Arrival
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

// Leave marks a target as leaving. It takes no new work from now on.
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

// Remove drops a target once nothing of it is in flight.
func (g *Registry) Remove(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, t := range g.targets {
		if t.address != address {
			continue
		}
		t.mu.Lock()
		busy := len(t.inFlight) > 0
		t.mu.Unlock()
		if busy {
			return false
		}
		g.targets = append(g.targets[:i:i], g.targets[i+1:]...)
		return true
	}
	return false
}

// Expired returns the targets that haven't renewed their announcement.
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

// Announced returns what is told to other nodes.
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

// Status is what the admin API says of a target.
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

func (g *Registry) all() []*target {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return append([]*target(nil), g.targets...)
}

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

// serving returns the target for a call: the one named, or any of the service
// if none is named.
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
