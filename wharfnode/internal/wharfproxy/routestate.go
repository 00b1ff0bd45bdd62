package wharfproxy

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortwharf.dev/wharf/wharfadmission"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharfnode/internal/wharfrandom"
)

// routeStates holds the state of each route of which a client request came to this node. The zero
// routeStates is empty and ready to use. It is safe for concurrent use.
type routeStates struct {
	states sync.Map
}

// routeState is the state of one route, guarded by mu.
type routeState struct {
	mu sync.Mutex
	// returns orders the requests of callers that return after a rejection.
	returns wharfadmission.Returns
	// entry holds what the nodes of the targets admit.
	entry wharfadmission.EntryShares
}

// get returns the state of a route and creates it if necessary.
func (r *routeStates) get(route string) *routeState {
	if state, ok := r.states.Load(route); ok {
		return state.(*routeState)
	}
	state, _ := r.states.LoadOrStore(route, &routeState{})
	return state.(*routeState)
}

// setPriority sets the priority of a request, and the state of its route if it comes from a client.
func (p *Proxy) setPriority(c *call) {
	rank, hash := c.policy.Class.Rank, xxhash.Sum64String(c.requestID)
	c.priority = wharfadmission.PriorityOf(rank, hash)
	if c.isDownstream() {
		return
	}
	c.routeState = p.routes.get(c.route())
	c.accountHash = wharfadmission.AccountHash(c.account)
	if c.hints.Timeout <= 0 || c.policy.Objective <= 0 {
		return
	}
	c.routeState.mu.Lock()
	defer c.routeState.mu.Unlock()
	c.priority = c.routeState.returns.Priority(time.Now(), rank, hash, c.hints.Timeout, c.policy.Objective)
}

// checkEntry rejects a client request that the target's node would reject for congestion
// downstream. One with a key of its caller is sent on, since its response may be ready there.
func (p *Proxy) checkEntry(c *call) (wharfoutcome.Outcome, bool) {
	s := c.routeState
	if s == nil || c.key != "" {
		return wharfoutcome.Outcome{}, true
	}
	s.mu.Lock()
	retryAfter, admitted := s.entry.Admit(time.Now(), c.accountHash, c.priority)
	s.mu.Unlock()
	if admitted {
		return wharfoutcome.Outcome{}, true
	}
	retryAfter = wharfadmission.AddJitter(retryAfter, wharfrandom.New().Float64())
	return wharfoutcome.Refuse(wharfoutcome.ReasonDownstreamOverload).WithRetryAfter(retryAfter), false
}

// spreadReturn sets the retry-after hint of a client request that was rejected for congestion
// downstream, so that callers return spread over the time in which they can be served in time. A
// request whose caller doesn't say how long it waits keeps the hint of the rejection.
func (p *Proxy) spreadReturn(c *call, o wharfoutcome.Outcome) wharfoutcome.Outcome {
	s := c.routeState
	if s == nil || c.hints.Timeout <= 0 || o.Kind != wharfoutcome.NotRun || o.Reason != wharfoutcome.ReasonDownstreamOverload {
		return o
	}
	now := time.Now()
	remaining := c.hints.Timeout - now.Sub(c.started)
	random := wharfrandom.New().Float64()
	s.mu.Lock()
	defer s.mu.Unlock()
	admitted := s.entry.Admitted(now, c.accountHash, c.policy.Class.Rank)
	if retryAfter := s.returns.RetryAfter(now, remaining, c.policy.Objective, admitted, random); retryAfter > 0 {
		return o.WithRetryAfter(retryAfter)
	}
	return o
}

// observeEntry records what the response to a client request reports, and whether the target's node
// has rejected it for congestion downstream.
func (s *attemptLoop) observeEntry() {
	report, state := s.last.report, s.call.routeState
	if report == nil || report.FromService || state == nil {
		return
	}
	rank, now := s.call.policy.Class.Rank, time.Now()
	state.mu.Lock()
	defer state.mu.Unlock()
	state.entry.Observe(now, rank, wharfadmission.Report{Ranks: report.Shares, Accounts: report.AccountShares})
	if s.last.outcome.Kind == wharfoutcome.NotRun && s.last.outcome.Reason == wharfoutcome.ReasonDownstreamOverload && !s.last.arrived {
		state.entry.Rejected(now, rank, s.last.outcome.RetryAfter)
	}
}
