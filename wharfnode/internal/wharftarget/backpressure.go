package wharftarget

import (
	"math/rand/v2"
	"sync"
	"time"

	"ragwortwharf.dev/wharf/wharfadmission"
)

const (
	// leastRetryAfter is when a caller may come back at the earliest whose work
	// was held back. The share that is let in moves slower than that.
	leastRetryAfter = 300 * time.Millisecond
	// maxRetryAfter bounds the advice. Fresh work of all ranks is let in again
	// within this time after trouble.
	maxRetryAfter = 3 * time.Second
	// sweepInterval is how often routes without requests are forgotten.
	sweepInterval = 10 * time.Second
)

// BackpressureGuard keeps what the calls of this node's targets meet. A node has one
// target as a rule, so all calls are taken as made by it. The zero BackpressureGuard
// holds nothing back.
type BackpressureGuard struct {
	// Enabled turns holding back on.
	Enabled bool

	mu      sync.Mutex
	state   wharfadmission.Backpressure
	origins wharfadmission.ClientRouteDetector
	swept   time.Time
}

// IsClientRequest reports whether a kind of request is one of clients.
func (p *BackpressureGuard) IsClientRequest(route, caller string, services int) bool {
	if !p.Enabled {
		return true
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.swept) > sweepInterval {
		p.swept = now
		p.origins.Prune(now)
	}
	return p.origins.IsClientRequest(now, route, caller, services)
}

// Observe takes the wait that a call of a target here has met.
func (p *BackpressureGuard) Observe(wait time.Duration) {
	if !p.Enabled {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.Observe(time.Now(), wait)
}

// Admit reports whether fresh work is let in.
func (p *BackpressureGuard) Admit(priority wharfadmission.Priority) bool {
	if !p.Enabled {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Admit(time.Now(), priority)
}

// DownstreamDelay returns the wait that the calls of the targets here meet.
func (p *BackpressureGuard) DownstreamDelay() time.Duration {
	if !p.Enabled {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.QueueDelay(time.Now())
}

// RetryAfter advises a caller whose work was held back. The smaller the share
// that is let in, the later it is worth to come back, so that less important
// callers don't spend their tries on a service that has no room for them yet.
func (p *BackpressureGuard) RetryAfter(priority wharfadmission.Priority) time.Duration {
	p.mu.Lock()
	share := p.state.AdmittedShare(time.Now(), priority.Rank())
	p.mu.Unlock()
	advice := min(time.Duration(float64(leastRetryAfter)/share), maxRetryAfter)
	return wharfadmission.AddJitter(advice, rand.Float64())
}
