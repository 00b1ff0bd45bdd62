package wharfproxy

import (
	"strconv"
	"sync"
	"time"

	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfroute"
	"ragwortwharf.dev/wharfnode/wharfprotocol"
)

const (
	// refusedTries is how many more attempts than targets a request may make. An
	// attempt that a node refuses does not reach a target and so does not count
	// towards the limit of targets. A refusal costs one round trip between nodes.
	refusedTries = 3
	// unconfiguredRetryAfter is the retry-after hint while this node has no
	// configuration. A node gets one within a few round trips once it reaches
	// the platform's log or another node.
	unconfiguredRetryAfter = 500 * time.Millisecond
)

// route sets the service and the policy of a request from the route that its
// host and path match.
func (p *Proxy) route(c *call) wharfoutcome.Reason {
	table, age := p.table()
	if table == nil {
		return wharfoutcome.ReasonNotConfigured
	}
	r := table.Find(wharfprotocol.HostOf(c.r.Host), c.r.URL.EscapedPath())
	if r == nil {
		return wharfoutcome.ReasonUnknownRoute
	}
	c.policy = policyOf(r)
	if reason := p.authenticate(c, table, r, age); reason != wharfoutcome.ReasonNone {
		return reason
	}
	c.service = p.roundRobins.next(r)
	return wharfoutcome.ReasonNone
}

// table returns the routes and, if they require keys, the age of their keys or more. The age is read
// before the table, which may be replaced and confirmed in between.
func (p *Proxy) table() (*wharfroute.Table, time.Duration) {
	table := p.View.State().Routes()
	if !table.KeysRequired() {
		return table, 0
	}
	age := p.View.KeyAge()
	return p.View.State().Routes(), age
}

// policyOf returns the policy of the requests of a route. If the route has no limit
// of targets (MaxTargets is zero), the policy allows refusedTries attempts.
func policyOf(r *wharfroute.Route) wharfconfig.Policy {
	return wharfconfig.Policy{
		Request:    r.Name,
		Class:      rankClass(r.Rank),
		Idempotent: r.Idempotent,
		Timeout:    r.Timeout,
		MaxTimeout: r.Timeout,
		Attempts:   r.MaxTargets + refusedTries,
		MaxTargets: r.MaxTargets,
		Objective:  r.Objective,
	}
}

// rankClass returns the class of the requests of a rank.
func rankClass(rank int) wharfconfig.Class {
	return wharfconfig.Class{Name: "rank-" + strconv.Itoa(rank), Rank: rank}
}

// roundRobins distributes the requests of each route over its services by
// weighted round robin. The zero roundRobins is empty and ready to use. It is
// safe for concurrent use.
type roundRobins struct {
	routes sync.Map
}

// lockedRoundRobin is the round robin of one route, guarded by mu.
type lockedRoundRobin struct {
	mu sync.Mutex
	wharfroute.WeightedRoundRobin
}

// next returns the service for the next request of the route.
func (s *roundRobins) next(r *wharfroute.Route) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	value, _ := s.routes.LoadOrStore(r.Name, &lockedRoundRobin{})
	roundRobin := value.(*lockedRoundRobin)
	roundRobin.mu.Lock()
	defer roundRobin.mu.Unlock()
	return roundRobin.Next(r)
}

// peek returns the service for the next request of the route without counting one.
func (s *roundRobins) peek(r *wharfroute.Route) string {
	value, ok := s.routes.Load(r.Name)
	if !ok {
		return (&wharfroute.WeightedRoundRobin{}).Peek(r)
	}
	roundRobin := value.(*lockedRoundRobin)
	roundRobin.mu.Lock()
	defer roundRobin.mu.Unlock()
	return roundRobin.Peek(r)
}
