package wharfproxy

import (
	"github.com/cespare/xxhash/v2"

	"ragwortwharf.dev/wharf/wharfadmission"
	"ragwortwharf.dev/wharf/wharfbudget"
	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharf/wharfoutcome"
)

// classify decides how the request is treated.
func (e *Proxy) classify(c *call) (wharfoutcome.Outcome, bool) {
	if c.service == "" {
		if reason := e.route(c); reason != wharfoutcome.ReasonNone {
			return wharfoutcome.Refuse(reason).WithRetryAfter(unconfiguredRetryAfter), false
		}
	} else if !e.classifyService(c) {
		return wharfoutcome.Refuse(wharfoutcome.ReasonUnknownService), false
	}
	c.priority = wharfadmission.PriorityOf(c.policy.Class.Rank, xxhash.Sum64String(c.requestID))
	if c.grant == nil {
		c.grant = &rootGrant{grant: wharfbudget.NewGrant(c.policy.Attempts)}
	}
	return wharfoutcome.Outcome{}, true
}

// classifyService decides by the labels of a service that the caller named. It
// is false for a service that nobody knows.
func (e *Proxy) classifyService(c *call) bool {
	config := e.View.Config()
	if !config.HasService(c.service) && !e.routes.known(e.View, c.service) {
		return false
	}
	c.policy = config.Classify(wharfconfig.RequestAttributes{
		Service: c.service, Method: c.r.Method, Path: c.r.URL.Path, Caller: c.caller,
	})
	if c.parent.Class != "" {
		// A call made for a user request has the class of that request, so
		// that the request gets the same verdict at each hop.
		c.policy.Class = config.Class(c.parent.Class)
	}
	return true
}
