package wharfproxy

import (
	"time"

	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfrouting"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

// requestFields returns the fields that every log line about a request has.
func (p *Proxy) requestFields(c *call) []wharfevents.Field {
	return append([]wharfevents.Field{
		{Name: "request", Value: c.requestID},
		{Name: "route", Value: c.route()},
		{Name: "service", Value: c.service},
		{Name: "rank", Value: c.policy.Class.Rank},
		{Name: "depth", Value: c.depth},
		{Name: "elapsed-ms", Value: time.Since(c.started).Milliseconds()},
	}, p.stopFields()...)
}

// logServed logs a request whose response was delivered.
func (p *Proxy) logServed(c *call, target wharfrouting.Target, status int) {
	if !p.Log.Enabled(wharfevents.RequestServed) {
		return
	}
	p.Log.Emit(wharfevents.RequestServed, append(p.requestFields(c),
		wharfevents.Field{Name: "target", Value: target.Address},
		wharfevents.Field{Name: "node", Value: target.Node},
		wharfevents.Field{Name: "status", Value: status},
		wharfevents.Field{Name: "tries", Value: c.tries})...)
}

// logUnserved logs a request that ended without a response of a target, with the
// versions of the routes and the state that were used.
func (p *Proxy) logUnserved(c *call, o wharfoutcome.Outcome) {
	if !p.Log.Enabled(wharfevents.RequestUnserved) {
		return
	}
	state := p.View.State()
	p.Log.Emit(wharfevents.RequestUnserved, append(p.requestFields(c),
		wharfevents.Field{Name: "host", Value: c.r.Host},
		wharfevents.Field{Name: "outcome", Value: o.Kind.String()},
		wharfevents.Field{Name: "reason", Value: string(o.Reason)},
		wharfevents.Field{Name: "retry-after-ms", Value: o.RetryAfter.Milliseconds()},
		wharfevents.Field{Name: "tries", Value: c.tries},
		wharfevents.Field{Name: "deadline-ms", Value: c.deadline.Sub(c.started).Milliseconds()},
		wharfevents.Field{Name: "routes-version", Value: state.Routes().Version()},
		wharfevents.Field{Name: "state-offset", Value: state.Offset()},
		wharfevents.Field{Name: "state-age-ms", Value: time.Since(p.View.ConfirmedAt()).Milliseconds()})...)
}

// logAttempt logs an attempt without a response, and what forbids another one.
func (p *Proxy) logAttempt(c *call, target wharfrouting.Target, r attemptResult, limit retryLimit) {
	if !p.Log.Enabled(wharfevents.AttemptFailed) {
		return
	}
	p.Log.Emit(wharfevents.AttemptFailed, append(p.requestFields(c),
		wharfevents.Field{Name: "target", Value: target.Address},
		wharfevents.Field{Name: "node", Value: target.Node},
		wharfevents.Field{Name: "outcome", Value: r.outcome.Kind.String()},
		wharfevents.Field{Name: "reason", Value: string(r.outcome.Reason)},
		wharfevents.Field{Name: "arrived", Value: r.arrived},
		wharfevents.Field{Name: "fingerprint", Value: c.fingerprint.String()},
		wharfevents.Field{Name: "retry-limit", Value: string(limit)},
		wharfevents.Field{Name: "attempt-ms", Value: r.latency.Milliseconds()})...)
}
