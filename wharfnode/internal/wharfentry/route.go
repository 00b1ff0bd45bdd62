package wharfentry

import (
	"strconv"
	"sync"
	"time"

	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfroute"
	"ragwortwharf.dev/wharfnode/wharfdialect"
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
func (e *Entry) route(c *call) wharfoutcome.Reason {
	table := e.View.State().Routes()
	if table == nil {
		return wharfoutcome.ReasonNotConfigured
	}
	r := table.Find(wharfdialect.HostOf(c.r.Host), c.r.URL.EscapedPath())
	if r == nil {
		return wharfoutcome.ReasonUnknownRoute
	}
	c.service = e.spreads.next(r)
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

// spreads deals the requests of each route to its services. The zero spreads is
// empty.
type spreads struct {
	routes sync.Map
}

// spread is that of one route under its own lock.
type spread struct {
	mu sync.Mutex
	wharfroute.Spread
}

func (s *spreads) next(r *wharfroute.Route) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	found, _ := s.routes.LoadOrStore(r.Name, &spread{})
	one := found.(*spread)
	one.mu.Lock()
	defer one.mu.Unlock()
	return one.Next(r)
}
