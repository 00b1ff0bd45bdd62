package wharfproxy

import (
	"errors"
	"net/http"
	"net/url"
	"time"

	"ragwortwharf.dev/wharf/wharfadmission"
	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfquota"
	"ragwortwharf.dev/wharf/wharfroute"
	"ragwortwharf.dev/wharf/wharfrouting"
	"ragwortwharf.dev/wharfnode/wharfprotocol"
)

// Errors of requests that can't be explained.
var (
	ErrNotConfigured  = errors.New("the node has no routes yet")
	ErrUnknownRoute   = errors.New("no route matches the host and path")
	ErrUnknownService = errors.New("the service is neither configured nor announced by a target, or isn't one of the route")
	ErrUnknownAccount = errors.New("the configuration has no such account")
)

// Question describes a client request that is explained and not sent. Host selects a route, and
// Service a service, one of those of the route if both are given.
type Question struct {
	Service, Host, Method, Path, Caller string
	// Account is the name of the client account whose key the caller would send.
	Account string
}

// Explanation describes where a request would go now and why.
type Explanation struct {
	Policy wharfconfig.Policy
	// Route is nil if the caller names the service.
	Route   *wharfroute.Route
	Service string
	// Account is nil if none counts, and Quota if none limits the request.
	Account *wharfroute.Account
	Quota   *wharfquota.Standing
	// Refusal is the outcome of every such request, without a reason if some are admitted. Share is
	// the share of the requests of the rank that the entry admits, and RetryAfter the retry-after
	// hint of the others without jitter.
	Refusal    wharfoutcome.Outcome
	Share      float64
	RetryAfter time.Duration
	// Balancing describes the targets of the service.
	Balancing wharfrouting.Explanation
}

// Explain describes where a request would go now. It changes no state. What depends on the body and
// the head of the request, which are quarantine and memory, isn't considered.
func (p *Proxy) Explain(q Question) (Explanation, error) {
	var e Explanation
	if err := p.explainRoute(q, &e); err != nil {
		return Explanation{}, err
	}
	now, rank := time.Now(), e.Policy.Class.Rank
	route := routeName(e.Policy, q.Method)
	e.Balancing = p.explainTargets(now, e.Service, wharfrouting.Request{Route: route, Rank: rank, IgnoreLevels: !p.Variant.Levels})
	e.Share, e.RetryAfter = p.routes.share(now, route, q.Account, rank)
	if e.Refusal.Reason == wharfoutcome.ReasonNone {
		e.Refusal = p.explainRefusal(now, &e)
	}
	return e, nil
}

// explainRoute sets what follows from the configuration: policy, route, service and account. The
// refusal is set if the key would be refused.
func (p *Proxy) explainRoute(q Question, e *Explanation) error {
	service := q.Service
	if q.Host != "" {
		named, err := p.explainHost(q, e)
		if err != nil {
			return err
		}
		if named == "" {
			return nil
		}
		service = named
	}
	config := p.View.Config()
	if !p.hasService(config, service) {
		return ErrUnknownService
	}
	e.Service = service
	e.Policy = config.Classify(wharfconfig.RequestAttributes{
		Service: service, Method: q.Method, Path: q.Path, Caller: q.Caller,
	})
	return nil
}

// explainHost sets what follows from the host and path. If the protocol takes the host for the name
// of a service, it returns the service.
func (p *Proxy) explainHost(q Question, e *Explanation) (service string, err error) {
	u := url.URL{Path: q.Path}
	hints, reason := p.Protocol.Identify(&http.Request{Method: q.Method, Host: q.Host, URL: &u, Header: http.Header{}})
	if hints.Service != "" {
		if q.Service != "" {
			return q.Service, nil
		}
		return hints.Service, nil
	}
	if reason != wharfoutcome.ReasonNone {
		return "", ErrUnknownRoute // the protocol needs the name of a service
	}
	table, age := p.table()
	if table == nil {
		return "", ErrNotConfigured
	}
	r := table.Find(wharfprotocol.HostOf(q.Host), u.EscapedPath())
	if r == nil {
		return "", ErrUnknownRoute
	}
	e.Route, e.Policy, e.Service = r, policyOf(r), p.roundRobins.peek(r)
	if q.Service != "" {
		if !r.Allows(q.Service) {
			return "", ErrUnknownService
		}
		e.Service = q.Service
	}
	return "", p.explainAccount(q, e, table, age)
}

// explainAccount sets the account, what is left of its quota, and the rank.
func (p *Proxy) explainAccount(q Question, e *Explanation, table *wharfroute.Table, age time.Duration) error {
	account := table.Account(q.Account)
	if q.Account != "" && account == nil {
		return ErrUnknownAccount
	}
	if !table.KeysRequired() {
		return nil
	}
	counted, limited, reason := p.checkAccount(e.Route, account, account != nil, age)
	if reason != wharfoutcome.ReasonNone {
		e.Refusal = wharfoutcome.Refuse(reason)
		if reason == wharfoutcome.ReasonKeysUnconfirmed {
			e.Refusal = e.Refusal.WithRetryAfter(unconfiguredRetryAfter)
		}
		return nil
	}
	e.Account = counted
	e.Policy.Class = rankClass(accountRank(counted, e.Route))
	if limited {
		standing := p.Quotas.Standing(counted)
		e.Quota = &standing
	}
	return nil
}

// share returns the share of the client requests of an account and a rank that the entry admits, and
// the retry-after hint of the others.
func (r *routeStates) share(now time.Time, route, account string, rank int) (float64, time.Duration) {
	value, ok := r.states.Load(route)
	if !ok {
		return 1, 0
	}
	s := value.(*routeState)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entry.Share(now, wharfadmission.AccountHash(account), rank)
}

// explainTargets describes the targets of a service as the balancer would see them.
func (p *Proxy) explainTargets(now time.Time, service string, r wharfrouting.Request) wharfrouting.Explanation {
	targets := p.View.Targets(service)
	value, ok := p.services.states.Load(service)
	if !ok {
		return newBalancer(p.Variant, p.View.Locality()).Explain(now, targets, r)
	}
	s := value.(*serviceState)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Explain(now, targets, r)
}

// explainRefusal returns the outcome that refuses every such request, by the filters in their order,
// without a reason if there is none.
func (p *Proxy) explainRefusal(now time.Time, e *Explanation) wharfoutcome.Outcome {
	if o, refused := quotaRefusal(e.Quota); refused {
		return o
	}
	if s := p.stop.Load(); !s.accepts(now, now.Add(e.Policy.Timeout)) {
		return wharfoutcome.Refuse(wharfoutcome.ReasonLeaving).WithRetryAfter(s.End.Sub(now))
	}
	if e.Share == 0 {
		return wharfoutcome.Refuse(wharfoutcome.ReasonDownstreamOverload).WithRetryAfter(e.RetryAfter)
	}
	if e.Balancing.Reason != wharfoutcome.ReasonNone {
		return wharfoutcome.Refuse(e.Balancing.Reason).WithRetryAfter(e.Balancing.RetryAfter)
	}
	return wharfoutcome.Outcome{}
}

// quotaRefusal returns the outcome that refuses a request with the standing of its quota. Without
// tokens and a known allocator, no token arrives in time unless an allocator becomes known.
func quotaRefusal(s *wharfquota.Standing) (wharfoutcome.Outcome, bool) {
	switch {
	case s == nil:
	case s.Verdict == wharfquota.Refused:
		return wharfoutcome.Refuse(wharfoutcome.ReasonQuota).WithRetryAfter(s.RetryAfter), true
	case s.Verdict == wharfquota.Uncertain,
		s.Verdict == wharfquota.Pending && s.Allocator == "":
		return wharfoutcome.Refuse(wharfoutcome.ReasonQuotaUnavailable).WithRetryAfter(s.RetryAfter), true
	}
	return wharfoutcome.Outcome{}, false
}
