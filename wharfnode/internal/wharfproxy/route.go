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
	// refusedTries is how many targets may refuse a request, besides those that
	// it may be sent to. A refusal costs one round trip between nodes.
	refusedTries = 3
	// unconfiguredRetryAfter is the advice while no configuration is known. A
	// node has one within a few round trips once it reaches the log or a peer.
	unconfiguredRetryAfter = 500 * time.Millisecond
)

// route decides by the routes which service a request goes to and how it is
// treated.
func (e *Proxy) route(c *call) wharfoutcome.Reason {
	table := e.View.State().Routes()
	if table == nil {
		return wharfoutcome.ReasonNotConfigured
	}
	r := table.Find(wharfprotocol.HostOf(c.r.Host), c.r.URL.EscapedPath())
	if r == nil {
		return wharfoutcome.ReasonUnknownRoute
	}
	c.service = e.roundRobins.next(r)
	c.policy = policyOf(r)
	return wharfoutcome.ReasonNone
}

func policyOf(r *wharfroute.Route) wharfconfig.Policy {
	return wharfconfig.Policy{
		Request:    r.Name,
		Class:      wharfconfig.Class{Name: "rank-" + strconv.Itoa(r.Rank), Rank: r.Rank},
		Idempotent: r.Idempotent,
		Timeout:    r.Timeout,
		MaxTimeout: r.Timeout,
		Attempts:   r.Targets + refusedTries,
		Targets:    r.Targets,
		Objective:  r.Objective,
	}
}

// roundRobins deals the requests of each route to its services. The zero roundRobins is
// empty.
type roundRobins struct {
	routes sync.Map
}

// lockedRoundRobin is that of one route under its own lock.
type lockedRoundRobin struct {
	mu sync.Mutex
	wharfroute.WeightedRoundRobin
}

func (s *roundRobins) next(r *wharfroute.Route) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	found, _ := s.routes.LoadOrStore(r.Name, &lockedRoundRobin{})
	one := found.(*lockedRoundRobin)
	one.mu.Lock()
	defer one.mu.Unlock()
	return one.Next(r)
}
