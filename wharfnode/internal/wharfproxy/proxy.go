package wharfproxy

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"ragwortwharf.dev/wharf/wharfadmission"
	"ragwortwharf.dev/wharf/wharfbudget"
	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharf/wharfidempotency"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfquarantine"
	"ragwortwharf.dev/wharf/wharfquota"
	"ragwortwharf.dev/wharf/wharfroute"
	"ragwortwharf.dev/wharf/wharfrouting"
	"ragwortwharf.dev/wharfnode/internal/wharfcallers"
	"ragwortwharf.dev/wharfnode/internal/wharftransport"
	"ragwortwharf.dev/wharfnode/internal/wharfview"
	"ragwortwharf.dev/wharfnode/wharfevents"
	"ragwortwharf.dev/wharfnode/wharfprotocol"
	"ragwortwharf.dev/wharfnode/wharfsettings"
)

// outcomeGrace is how long after the deadline a node waits for the outcome of an attempt
// that it has sent. Only the target's node knows whether the request has run, and it
// responds at the deadline. The grace covers a round trip and the delays of two busy
// processes, and is below the 250 ms after which callers count a request as held.
const outcomeGrace = 150 * time.Millisecond

const (
	// maxDiscarded bounds the part of a body that is read before a refusal, in bytes. It is
	// the bound of net/http.
	maxDiscarded = 256 << 10
	// discardTimeout bounds the time for that.
	discardTimeout = 500 * time.Millisecond
)

// consulter asks a node for its entry of a key. The node closes the key if it has
// dispatched no request with it.
type consulter interface {
	Consult(ctx context.Context, owner wharfidempotency.Owner, id wharfidempotency.KeyID) (wharfidempotency.KeyEntry, error)
}

// downstreamObserver records the calls made by a target on this VM.
type downstreamObserver interface {
	// RecordDownstreamCall records a call made to serve a request of a route.
	RecordDownstreamCall(route string)
	// ObserveShares records the shares of the client requests of the ranks that the called
	// target and the services downstream of it can serve, those whose calls they complete,
	// and the rank of the client request that the call was made for.
	ObserveShares(service string, rank int, served wharfadmission.Report, completed wharfadmission.RankShares)
	// Observe records the queue delay of a call whose client request isn't known.
	Observe(wait time.Duration)
}

// Proxy is the caller's side of a node. It is safe for concurrent use once its
// exported fields are set.
type Proxy struct {
	View      *wharfview.View
	Transport *wharftransport.Client
	// Ledger holds the grants of the calls that the targets on this VM are
	// serving.
	Ledger     *wharfbudget.Ledger
	Quarantine *wharfquarantine.List
	Consulter  consulter
	// Backpressure records what the calls made by the targets on this VM meet
	// downstream.
	Backpressure downstreamObserver
	Protocol     wharfprotocol.CallerProtocol
	// RepeatLimit limits how often requests reach a target more than once.
	RepeatLimit wharfbudget.RepeatLimit
	// Quotas bounds the requests of client accounts.
	Quotas quotas
	// MaxKeyAge is how long after the last confirmation of the configuration keys of client
	// accounts are accepted. Zero means that it isn't bounded.
	MaxKeyAge time.Duration
	// ChangeTime is how long after its acknowledgement a change of the configuration may take to be
	// in force.
	ChangeTime time.Duration
	// Variant selects between alternative algorithms.
	Variant wharfsettings.Variant
	// Memory counts what the node holds for its callers.
	Memory  *wharfbudget.Memory
	Log     wharfevents.Log
	Metrics wharfevents.Metrics

	services    serviceStates
	routes      routeStates
	roundRobins roundRobins
	retryBudget wharfbudget.RetryBudget
	// safeRequests holds the fingerprints of requests that completed without a
	// crash.
	safeRequests wharfquarantine.KnownSafeSet
	calls        atomic.Int64
	// stop is the planned stop, nil before it.
	stop atomic.Pointer[Stop]
}

// call is the state of one request while it passes the filters.
type call struct {
	ctx      context.Context
	w        http.ResponseWriter
	r        *http.Request
	started  time.Time
	deadline time.Time

	// hints holds what the caller's headers state about the request.
	hints   wharfprotocol.Request
	service string
	caller  string
	// account is the client account of the client request, empty if there is none, and accountHash
	// identifies it in load reports. quota is the account from whose quota the request has taken
	// token. authenticated is true if the caller sent a key of the account.
	account       string
	accountHash   uint32
	authenticated bool
	quota         *wharfroute.Account
	token         wharfquota.Token
	// key is the caller's idempotency key, empty if there is none.
	key string
	// requestID is the id of the client request. All calls that are made to serve
	// it have the same id.
	requestID string
	// depth is the number of calls between the client request and this one. It is
	// zero for a client request and for a call without a context.
	depth int
	grant grant
	// parent is the call that the service on this VM was serving when it made
	// this one. It is zero for a client request.
	parent wharfbudget.ServedCall
	// linked is true if the parent was found by its request id.
	linked   bool
	policy   wharfconfig.Policy
	priority wharfadmission.Priority
	// routeState is the state of the route of a client request, nil for a call of a service.
	routeState *routeState
	body       body
	memory     reservation
	// tries counts the attempts that were made. lastTarget and lastAttempt are the target
	// and the start of the last one.
	tries       int
	lastTarget  wharfrouting.Target
	lastAttempt time.Time
	// upload sends the rest of a long body. It is nil until a node admits the request.
	upload *upload
	// aborted is true if the response was truncated, so that the connection must break.
	aborted bool
	// repeats is true if a target may have received the request before, or if the call
	// belongs to a run for which that is so.
	repeats bool
	// fingerprint is the same for all resends of the request.
	fingerprint wharfquarantine.Fingerprint
}

// route returns the name under which the admission levels for the request are
// stored: the name of the matching route or configuration document of kind
// request, or else the method.
func (c *call) route() string {
	return routeName(c.policy, c.r.Method)
}

func routeName(p wharfconfig.Policy, method string) string {
	if p.Request != "" {
		return p.Request
	}
	return method
}

// filter does one step of the processing of a request. It returns true to pass
// the request on, or false and the outcome that ends the request.
type filter func(p *Proxy, c *call) (wharfoutcome.Outcome, bool)

// filters lists the filters in the order in which they run.
var filters = []filter{
	(*Proxy).identify,
	(*Proxy).classify,
	(*Proxy).setDeadline,
	(*Proxy).takeQuota,
	(*Proxy).checkEntry,
	(*Proxy).reserve,
	(*Proxy).readBody,
	(*Proxy).checkStop,
	(*Proxy).checkQuarantine,
}

// ServeHTTP serves one request of a caller or of the service on this VM.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.calls.Add(1)
	c := &call{ctx: r.Context(), w: w, r: r, started: time.Now(), memory: reservation{memory: p.Memory}}
	defer p.end(c)
	defer c.memory.end()
	defer wharfcallers.Refused(c.ctx)
	defer func() { c.upload.end(!c.aborted) }()
	for _, f := range filters {
		if o, pass := f(p, c); !pass {
			p.refuse(c, o)
			return
		}
	}
	p.send(c)
}

// refuse logs and counts a request that ended without a response of a target,
// and sends the outcome to the caller.
func (p *Proxy) refuse(c *call, o wharfoutcome.Outcome) {
	p.returnQuota(c, o)
	o = p.spreadReturn(c, o)
	if o.Reason == wharfoutcome.ReasonDownstreamOverload {
		p.Metrics.AccountRejection(c.account)
	}
	if o.Reason == wharfoutcome.ReasonQuota {
		// The quotas log it once for many requests.
	} else if status := o.HTTPStatus(); status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		p.Log.Emit(wharfevents.BadRequest,
			wharfevents.Field{Name: "request", Value: c.requestID},
			wharfevents.Field{Name: "reason", Value: string(o.Reason)},
			wharfevents.Field{Name: "caller", Value: c.caller},
			wharfevents.Field{Name: "service", Value: c.service})
	} else {
		p.logUnserved(c, o)
	}
	p.Metrics.Call(c.policy.Class.Name, o, time.Since(c.started))
	c.closeDuringUpload()
	if respondsFirst(o.Reason) && c.leaveBody() {
		p.Protocol.Refuse(c.w, o)
		c.endBody()
		return
	}
	c.discardBody()
	p.Protocol.Refuse(c.w, o)
}

// respondsFirst reports whether a refusal is sent before the body of the request is read, which
// the caller may send slowly.
func respondsFirst(reason wharfoutcome.Reason) bool {
	switch reason {
	case wharfoutcome.ReasonUnknownKey, wharfoutcome.ReasonKeysUnconfirmed, wharfoutcome.ReasonQuota:
		return true
	}
	return false
}

// leaveBody makes net/http send the response before it reads the rest of the body. It returns false
// if net/http reads nothing anyway: there is no body, or it is known to be longer than maxDiscarded.
func (c *call) leaveBody() bool {
	if c.r.ContentLength == 0 || c.r.ContentLength >= maxDiscarded {
		return false
	}
	if c.r.ContentLength < 0 {
		// The connection ends if the body is longer than maxDiscarded.
		c.w.Header().Set("Connection", "close")
	}
	return http.NewResponseController(c.w).EnableFullDuplex() == nil
}

// endBody sends the response and reads the rest of the body, within discardTimeout. If net/http
// reached its end only after the handler, it would read the next request twice at once and panic.
func (c *call) endBody() {
	controller := http.NewResponseController(c.w)
	_ = controller.Flush()
	// An error leaves the connection as it is, and net/http closes it.
	_ = controller.SetReadDeadline(time.Now().Add(discardTimeout))
	_ = c.r.Body.Close()
}

// discardBody reads the rest of a body before a response after which the connection is closed,
// within discardTimeout. Closing it with bytes that were not read resets it, and the caller then
// loses the response. Before other responses net/http does the same.
func (c *call) discardBody() {
	if c.upload != nil || !c.r.Close && c.w.Header().Get("Connection") != "close" {
		return
	}
	// An error leaves the connection as it is, which is closed after the response.
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, c.r.Body, maxDiscarded)
}

// closeDuringUpload tells the caller that its connection ends with the response, if its body is
// still read then.
func (c *call) closeDuringUpload() {
	if c.upload.running() {
		c.w.Header().Set("Connection", "close")
	}
}

// InFlight returns the number of requests in flight.
func (p *Proxy) InFlight() int {
	return int(p.calls.Load())
}
