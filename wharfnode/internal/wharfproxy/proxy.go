package wharfproxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"ragwortwharf.dev/wharf/wharfadmission"
	"ragwortwharf.dev/wharf/wharfbudget"
	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharf/wharfidempotency"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfquarantine"
	"ragwortwharf.dev/wharfnode/internal/wharftransport"
	"ragwortwharf.dev/wharfnode/internal/wharfview"
	"ragwortwharf.dev/wharfnode/wharfevents"
	"ragwortwharf.dev/wharfnode/wharfprotocol"
	"ragwortwharf.dev/wharfnode/wharfsettings"
)

// consulter asks a node about a key, which closes it there.
type consulter interface {
	Consult(ctx context.Context, owner wharfidempotency.Owner, id wharfidempotency.KeyID) (wharfidempotency.KeyEntry, error)
}

// delayObserver takes the wait that a call of a target here has met.
type delayObserver interface {
	Observe(wait time.Duration)
}

// Proxy is the caller's side of a node.
type Proxy struct {
	View       *wharfview.View
	Transport  *wharftransport.Client
	Ledger     *wharfbudget.Ledger
	Quarantine *wharfquarantine.List
	Consulter  consulter
	// Backpressure takes what the calls of the targets here meet.
	Backpressure delayObserver
	Protocol     wharfprotocol.CallerProtocol
	// RepeatLimit bounds how often requests reach targets beyond the first time.
	RepeatLimit wharfbudget.RepeatLimit
	Variant     wharfsettings.Variant
	Log         wharfevents.Log
	Metrics     wharfevents.Metrics

	routes       routes
	roundRobins  roundRobins
	retryBudget  wharfbudget.RetryBudget
	safeRequests wharfquarantine.SafeSet
	calls        atomic.Int64
}

// call is a request on its way through the filters.
type call struct {
	ctx      context.Context
	w        http.ResponseWriter
	r        *http.Request
	started  time.Time
	deadline time.Time

	hints     wharfprotocol.Request
	service   string
	caller    string
	key       string
	requestID string
	depth     int
	grant     grant
	// parent is the call that the service on this VM was serving when it made
	// this one.
	parent   wharfbudget.ServedCall
	policy   wharfconfig.Policy
	priority wharfadmission.Priority
	body     body
	// tries counts the attempts that were sent.
	tries int
	// fingerprint identifies the request over its resends.
	fingerprint wharfquarantine.Fingerprint
}

// route names the kind of request that admission levels are kept for.
func (c *call) route() string {
	if c.policy.Request != "" {
		return c.policy.Request
	}
	return c.r.Method
}

// filter does one job on a request. It returns the outcome that ends the
// request, or true to pass it on.
type filter func(e *Proxy, c *call) (wharfoutcome.Outcome, bool)

// filters lists the filters in their order.
var filters = []filter{
	(*Proxy).identify,
	(*Proxy).classify,
	(*Proxy).setDeadline,
	(*Proxy).readBody,
	(*Proxy).checkQuarantine,
}

// ServeHTTP serves one request of a caller or of the service on this VM.
func (e *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.calls.Add(1)
	defer e.calls.Add(-1)
	c := &call{ctx: r.Context(), w: w, r: r, started: time.Now()}
	for _, f := range filters {
		if o, pass := f(e, c); !pass {
			e.refuse(c, o)
			return
		}
	}
	ctx, cancel := context.WithDeadline(c.ctx, c.deadline)
	defer cancel()
	c.ctx = ctx
	e.send(c)
}

// refuse answers a request that ended without an answer of a target.
func (e *Proxy) refuse(c *call, o wharfoutcome.Outcome) {
	if status := o.HTTPStatus(); status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		e.Log.Emit(wharfevents.BadRequest,
			wharfevents.Field{Name: "request", Value: c.requestID},
			wharfevents.Field{Name: "reason", Value: string(o.Reason)},
			wharfevents.Field{Name: "caller", Value: c.caller},
			wharfevents.Field{Name: "service", Value: c.service})
	} else {
		e.logUnserved(c, o)
	}
	e.Metrics.Call(c.policy.Class.Name, o, time.Since(c.started))
	e.Protocol.Refuse(c.w, o)
}

// Calls returns the number of requests in flight.
func (e *Proxy) Calls() int {
	return int(e.calls.Load())
}
