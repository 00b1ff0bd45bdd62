package wharfproxy

import (
	"time"

	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfrouting"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

// fields are what each line on a request says.
func (e *Proxy) fields(c *call) []wharfevents.Field {
	return []wharfevents.Field{
		{Name: "request", Value: c.requestID},
		{Name: "route", Value: c.route()},
		{Name: "service", Value: c.service},
		{Name: "rank", Value: c.policy.Class.Rank},
		{Name: "depth", Value: c.depth},
		{Name: "elapsed-ms", Value: time.Since(c.started).Milliseconds()},
	}
}

// logServed writes the line of a request that has its answer.
func (e *Proxy) logServed(c *call, target wharfrouting.Target, status int) {
	if !e.Log.Enabled(wharfevents.RequestServed) {
		return
	}
	e.Log.Emit(wharfevents.RequestServed, append(e.fields(c),
		wharfevents.Field{Name: "target", Value: target.Address},
		wharfevents.Field{Name: "node", Value: target.Node},
		wharfevents.Field{Name: "status", Value: status},
		wharfevents.Field{Name: "tries", Value: c.tries})...)
}

// logUnserved writes the line of a request that ended without an answer,
// with the versions of what decided it.
func (e *Proxy) logUnserved(c *call, o wharfoutcome.Outcome) {
	if !e.Log.Enabled(wharfevents.RequestUnserved) {
		return
	}
	state := e.View.State()
	e.Log.Emit(wharfevents.RequestUnserved, append(e.fields(c),
		wharfevents.Field{Name: "host", Value: c.r.Host},
		wharfevents.Field{Name: "outcome", Value: o.Kind.String()},
		wharfevents.Field{Name: "reason", Value: string(o.Reason)},
		wharfevents.Field{Name: "retry-after-ms", Value: o.RetryAfter.Milliseconds()},
		wharfevents.Field{Name: "tries", Value: c.tries},
		wharfevents.Field{Name: "deadline-ms", Value: c.deadline.Sub(c.started).Milliseconds()},
		wharfevents.Field{Name: "routes-version", Value: state.Routes().Version()},
		wharfevents.Field{Name: "state-offset", Value: state.Offset()},
		wharfevents.Field{Name: "state-age-ms", Value: time.Since(e.View.ConfirmedAt()).Milliseconds()})...)
}

// logAttempt writes the line of an attempt that brought no answer.
func (e *Proxy) logAttempt(c *call, target wharfrouting.Target, r attemptResult) {
	if !e.Log.Enabled(wharfevents.AttemptFailed) {
		return
	}
	e.Log.Emit(wharfevents.AttemptFailed, append(e.fields(c),
		wharfevents.Field{Name: "target", Value: target.Address},
		wharfevents.Field{Name: "node", Value: target.Node},
		wharfevents.Field{Name: "outcome", Value: r.outcome.Kind.String()},
		wharfevents.Field{Name: "reason", Value: string(r.outcome.Reason)},
		wharfevents.Field{Name: "arrived", Value: r.arrived},
		wharfevents.Field{Name: "attempt-ms", Value: r.latency.Milliseconds()})...)
}
