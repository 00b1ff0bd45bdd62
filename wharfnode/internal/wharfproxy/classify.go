package wharfproxy

import (
	"ragwortwharf.dev/wharf/wharfadmission"
	"ragwortwharf.dev/wharf/wharfbudget"
	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharf/wharfoutcome"
)

// classify sets the policy, priority and grant of the request. If the caller
// named no service, the route table determines the service.
func (p *Proxy) classify(c *call) (wharfoutcome.Outcome, bool) {
	if c.service == "" {
		if reason := p.route(c); reason != wharfoutcome.ReasonNone {
			return wharfoutcome.Refuse(reason).WithRetryAfter(unconfiguredRetryAfter), false
		}
	} else if !p.classifyService(c) {
		return wharfoutcome.Refuse(wharfoutcome.ReasonUnknownService), false
	}
	if c.linked {
		// Every hop makes the same admission decision for a client request and for the
		// calls that serve it.
		c.policy.Class = wharfconfig.Class{Name: c.parent.Class, Rank: c.parent.Rank}
		c.priority = wharfadmission.Priority(c.parent.Priority)
		if !c.authenticated {
			c.account = c.parent.Account
		}
	} else {
		p.setPriority(c)
	}
	if c.grant == nil {
		c.grant = &rootGrant{grant: wharfbudget.NewGrant(c.policy.Attempts)}
	}
	return wharfoutcome.Outcome{}, true
}

// classifyService sets the policy from the configuration of the service that the
// caller named. It returns false if the service is neither configured nor
// announced by a target.
func (p *Proxy) classifyService(c *call) bool {
	config := p.View.Config()
	if !p.hasService(config, c.service) {
		return false
	}
	c.policy = config.Classify(wharfconfig.RequestAttributes{
		Service: c.service, Method: c.r.Method, Path: c.r.URL.Path, Caller: c.caller,
	})
	if c.parent.Class != "" {
		// A call made to serve a client request has the class of that request,
		// so that every hop makes the same admission decision for it.
		c.policy.Class = config.Class(c.parent.Class)
	}
	return true
}

// hasService reports whether a service is configured, was called before or has targets.
func (p *Proxy) hasService(config *wharfconfig.Snapshot, service string) bool {
	return config.HasService(service) || p.services.known(p.View, service)
}
