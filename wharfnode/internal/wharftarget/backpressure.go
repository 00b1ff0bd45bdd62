package wharftarget

import (
	"math/rand/v2"
	"sync"
	"time"

	"ragwortwharf.dev/wharf/wharfadmission"
)

const (
	// minRetryAfter is the minimum retry-after hint for a rejected client request,
	// before jitter. The admitted share changes more slowly than that, so that an
	// earlier retry would find almost the same share.
	minRetryAfter = 300 * time.Millisecond
	// maxRetryAfter is the maximum retry-after hint, before jitter. Client requests
	// of all ranks are admitted again within this time after congestion.
	maxRetryAfter = 3 * time.Second
	// reportInterval is the time for which a report of the services downstream is sent again. Several
	// hops add up, and a node sends some hundred responses in a tenth of a second.
	reportInterval = 10 * time.Millisecond
	// pruneInterval is the time between two removals of routes without requests.
	pruneInterval = 10 * time.Second
)

// BackpressureGuard rejects client requests while the downstream calls of this node's
// targets are delayed in queues. A node usually has one target, so the delays of all
// calls are combined. The zero BackpressureGuard admits everything. It is safe for
// concurrent use.
type BackpressureGuard struct {
	// Enabled turns the rejection of client requests on. It is set before the first
	// use.
	Enabled bool
	// AdmitCompleted rejects all client requests whose calls would not be completed, not only
	// those that must not run twice. It is set before the first use.
	AdmitCompleted bool

	mu           sync.Mutex
	state        wharfadmission.Backpressure
	clientRoutes wharfadmission.ClientRouteDetector
	routeCalls   wharfadmission.DownstreamCalls
	shares       wharfadmission.DownstreamShares
	// completions holds the shares whose calls are completed, although targets refuse
	// calls.
	completions wharfadmission.DownstreamShares
	lastPrune   time.Time
	// report is what shares reported at the time reportedAt.
	report     wharfadmission.Report
	reportedAt time.Time
}

// IsClientRequest counts a request by a caller for a route and reports whether clients
// send the requests for this route, as opposed to services. services is the number of
// services that have targets. The result is always true if the guard is off.
func (g *BackpressureGuard) IsClientRequest(route, caller string, services int) bool {
	if !g.Enabled {
		return true
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.lastPrune) > pruneInterval {
		g.lastPrune = now
		g.clientRoutes.Prune(now)
		g.routeCalls.Prune(now)
	}
	return g.clientRoutes.IsClientRequest(now, route, caller, services)
}

// RecordServed records that a target of this node begins to serve a request of a route.
func (g *BackpressureGuard) RecordServed(route string) {
	if !g.Enabled {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.routeCalls.RecordServed(time.Now(), route)
}

// RecordEnded records that a target of this node has responded to a request of a route.
func (g *BackpressureGuard) RecordEnded(route string) {
	if !g.Enabled {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.routeCalls.RecordEnded(route)
}

// RecordDownstreamCall records a call that a target of this node makes to serve a
// request of a route.
func (g *BackpressureGuard) RecordDownstreamCall(route string) {
	if !g.Enabled {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.routeCalls.RecordCall(route)
}

// MakesNoCalls reports whether requests of a route are known to make no downstream calls.
func (g *BackpressureGuard) MakesNoCalls(route string) bool {
	if !g.Enabled {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.routeCalls.MakesNoCalls(route)
}

// ObserveShares records the shares that a downstream call to a service reported, and the rank
// of the client request that the call was made for.
func (g *BackpressureGuard) ObserveShares(service string, rank int, served wharfadmission.Report, completed wharfadmission.RankShares) {
	if !g.Enabled {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.shares.ObserveReport(now, service, rank, served)
	g.completions.Observe(now, service, rank, completed)
}

// Observe records the queue delay of a downstream call that a target of this node
// made for a client request that isn't known.
func (g *BackpressureGuard) Observe(wait time.Duration) {
	if !g.Enabled {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.Observe(time.Now(), wait)
}

// Admit reports whether a client request of a route, an account and a priority is admitted. A request that
// must not run twice is also rejected if its calls would not be completed, since its caller can
// try again only if it has not run. Other requests may as well be tried unless AdmitCompleted is
// set, and their callers may repeat them after any failure.
func (g *BackpressureGuard) Admit(route string, account uint32, priority wharfadmission.Priority, repeatable bool) bool {
	if !g.Enabled {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	return !g.routeCalls.MayCall(route) || g.state.Admit(now, priority) && g.shares.AdmitOf(now, account, priority) &&
		(repeatable && !g.AdmitCompleted || g.completions.Admit(now, priority))
}

// DownstreamShares returns the shares of the client requests of the ranks that the services
// downstream can serve, and those whose calls they complete. Nothing is known if the guard is
// off.
func (g *BackpressureGuard) DownstreamShares() (served wharfadmission.Report, completed wharfadmission.RankShares) {
	if !g.Enabled {
		return served, completed
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if now.Sub(g.reportedAt) >= reportInterval {
		g.report, g.reportedAt = g.shares.Report(now), now
	}
	return g.report, g.completions.Shares(now)
}

// downstreamShare returns the share of the client requests of a rank that the services
// downstream can serve. It is one if the guard is off.
func (g *BackpressureGuard) downstreamShare(rank int) float64 {
	if !g.Enabled {
		return 1
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shares.Admitted(time.Now(), rank)
}

// DownstreamDelay returns the mean queue delay of the downstream calls of this node's
// targets. It is zero if the guard is off.
func (g *BackpressureGuard) DownstreamDelay() time.Duration {
	if !g.Enabled {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.QueueDelay(time.Now())
}

// RetryAfter returns the retry-after hint for a rejected client request. The hint is
// longer the smaller the admitted share of the rank is, so that callers of low
// priority don't spend their retries on a service that has no capacity for them yet. own is the
// share that the target itself admits.
func (g *BackpressureGuard) RetryAfter(account uint32, priority wharfadmission.Priority, own float64) time.Duration {
	g.mu.Lock()
	now, rank := time.Now(), priority.Rank()
	admittedShare := min(own, g.state.AdmittedShare(now, rank), g.shares.AdmittedOf(now, account, rank), g.completions.Admitted(now, rank))
	g.mu.Unlock()
	retryAfter := min(time.Duration(float64(minRetryAfter)/admittedShare), maxRetryAfter)
	return wharfadmission.AddJitter(retryAfter, rand.Float64())
}
