package wharfadmin

import (
	"cmp"
	"errors"
	"net/http"
	"time"

	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfrouting"
	"ragwortwharf.dev/wharfnode/internal/wharfproxy"
)

// Explanation describes how the node would treat a request now, and where it would go. Each rule field names
// the configuration rule that decided a value; an empty one means the default.
type Explanation struct {
	Labels string `json:"labels"`
	// Request is the name of the most specific configured request that matches, or
	// empty.
	Request        string `json:"request,omitempty"`
	Class          string `json:"class"`
	Rank           int    `json:"rank"`
	ClassRule      string `json:"class-rule,omitempty"`
	Idempotent     bool   `json:"idempotent"`
	IdempotentRule string `json:"idempotent-rule,omitempty"`
	TimeoutMs      int64  `json:"timeout-ms"`
	MaxTimeoutMs   int64  `json:"max-timeout-ms"`
	TimeoutRule    string `json:"timeout-rule,omitempty"`
	Attempts       int    `json:"attempts"`
	AttemptsRule   string `json:"attempts-rule,omitempty"`

	Service string `json:"service"`
	// Route is absent if the caller names the service.
	Route *RouteExplanation `json:"route,omitempty"`
	// Account is absent if no client account counts.
	Account   *AccountExplanation  `json:"account,omitempty"`
	Admission AdmissionExplanation `json:"admission"`
	// Balancing is how a target is chosen: weighted or two-choices.
	Balancing string `json:"balancing"`
	// Targets holds the candidates, the most probable ones first, and then the targets that are left
	// out.
	Targets []TargetExplanation `json:"targets"`
}

// RouteExplanation is the route that the host and path of a request match.
type RouteExplanation struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Services holds the services that the route distributes its requests over.
	Services []RouteService `json:"services"`
}

// RouteService is a service of a route.
type RouteService struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// AccountExplanation is the client account of a request.
type AccountExplanation struct {
	Name string `json:"name"`
	// Quota is absent if no quota limits the request.
	Quota *QuotaExplanation `json:"quota,omitempty"`
}

// QuotaExplanation is what the node knows of the quota of an account.
type QuotaExplanation struct {
	PerSecond float64 `json:"per-second"`
	Burst     float64 `json:"burst"`
	// Verdict is what the next request would get at once: granted, refused, uncertain, or pending if
	// the allocator is asked.
	Verdict      string `json:"verdict"`
	RetryAfterMs int64  `json:"retry-after-ms,omitempty"`
	// Tokens is the number of requests that this node may send without asking.
	Tokens float64 `json:"tokens"`
	// EqualShare is true if each node has an equal share of the quota, without an allocator.
	EqualShare bool `json:"equal-share,omitempty"`
	// Allocator is the node that allocates the account, empty if none is known. AllocatorTokens is
	// what is left there, which only the allocator itself knows.
	Allocator       string   `json:"allocator,omitempty"`
	AllocatorTokens *float64 `json:"allocator-tokens,omitempty"`
}

// Verdicts on the admission of a request.
const (
	// verdictAdmitted means that all such requests are admitted, verdictPartly that the share is, and
	// verdictRefused that none is.
	verdictAdmitted = "admitted"
	verdictPartly   = "partly"
	verdictRefused  = "refused"
)

// AdmissionExplanation says whether a request would be admitted.
type AdmissionExplanation struct {
	// Verdict is admitted, partly or refused.
	Verdict string `json:"verdict"`
	// Share is the share of the requests of the rank that the entry admits.
	Share float64 `json:"share"`
	// Reason and Status are those of the refusal, if there is one. RetryAfterMs is the retry-after
	// hint without jitter.
	Reason       string `json:"reason,omitempty"`
	Status       int    `json:"status,omitempty"`
	RetryAfterMs int64  `json:"retry-after-ms,omitempty"`
}

// TargetExplanation is what the balancer of the node knows of a target.
type TargetExplanation struct {
	Address       string `json:"address"`
	Node          string `json:"node"`
	FailureDomain string `json:"failure-domain"`
	Instance      string `json:"instance,omitempty"`
	// Candidate is whether the request may go there. If not, LeftOut is the reason: leaving, ejected,
	// other-incarnation, unlisted or admission-level. LeavingCause says why a target is leaving.
	Candidate    bool   `json:"candidate"`
	LeftOut      string `json:"left-out,omitempty"`
	LeavingCause string `json:"leaving-cause,omitempty"`
	// EjectedUntil is the end of the ejection, and EjectedForMs the time until then. A candidate may
	// be ejected if most targets are. Unreachable is whether the last attempt didn't reach the node.
	EjectedUntil *time.Time `json:"ejected-until,omitempty"`
	EjectedForMs int64      `json:"ejected-for-ms,omitempty"`
	Unreachable  bool       `json:"unreachable,omitempty"`
	// InFlight is the number of requests that this node has in flight at the target.
	InFlight int `json:"in-flight"`
	Slots    int `json:"slots"`
	// Report is the last load report, absent if there is none.
	Report *ReportExplanation `json:"report,omitempty"`
	// AdmittedShare is the share of the requests of the rank that the admission level of the target
	// admits.
	AdmittedShare float64 `json:"admitted-share"`
	LostShare     float64 `json:"lost-share,omitempty"`
	// SlowStartMs is how long the target still gets fewer requests because it is new.
	SlowStartMs int64 `json:"slow-start-ms,omitempty"`
	// Speed is relative to the other targets, zero if it isn't known, and DrawShare the share of the
	// draws that hit the target, both with weighted balancing. Cost is for two choices.
	Speed     float64 `json:"speed,omitempty"`
	DrawShare float64 `json:"draw-share,omitempty"`
	Cost      float64 `json:"cost,omitempty"`
}

// ReportExplanation is a load report of a target.
type ReportExplanation struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Limit   int `json:"limit"`
	// AgeMs is the time since the report arrived. Current is false if it is too old to count.
	AgeMs   int64 `json:"age-ms"`
	Current bool  `json:"current"`
}

// explainErrors holds the responses to requests that can't be explained.
var explainErrors = []struct {
	err    error
	status int
	code   string
}{
	{wharfproxy.ErrNotConfigured, http.StatusServiceUnavailable, "not-configured"},
	{wharfproxy.ErrUnknownRoute, http.StatusNotFound, "route-unknown"},
	{wharfproxy.ErrUnknownService, http.StatusNotFound, "service-unknown"},
	{wharfproxy.ErrUnknownAccount, http.StatusNotFound, "account-unknown"},
}

// explain says where a request would go now and why. The request isn't sent.
func (a *API) explain(w http.ResponseWriter, r *http.Request) {
	params := r.URL.Query()
	q := wharfproxy.Question{
		Service: params.Get("service"), Host: params.Get("host"), Method: cmp.Or(params.Get("method"), http.MethodGet),
		Path: params.Get("path"), Caller: params.Get("caller"), Account: params.Get("account"),
	}
	if q.Service == "" && q.Host == "" {
		reply(w, http.StatusBadRequest, apiError{"service-missing", "the parameter service or host is needed"})
		return
	}
	e, err := a.Proxy.Explain(q)
	for _, x := range explainErrors {
		if errors.Is(err, x.err) {
			reply(w, x.status, apiError{x.code, err.Error()})
			return
		}
	}
	reply(w, http.StatusOK, a.explanationOf(time.Now(), e))
}

func (a *API) explanationOf(now time.Time, e wharfproxy.Explanation) Explanation {
	p := e.Policy
	out := Explanation{
		Labels: p.Labels.String(), Request: p.Request,
		Class: p.Class.Name, Rank: p.Class.Rank, ClassRule: p.ClassRule,
		Idempotent: p.Idempotent, IdempotentRule: p.IdempotentRule,
		TimeoutMs: p.Timeout.Milliseconds(), MaxTimeoutMs: p.MaxTimeout.Milliseconds(), TimeoutRule: p.TimeoutRule,
		Attempts: p.Attempts, AttemptsRule: p.AttemptsRule,
		Service: e.Service, Account: accountOf(e), Admission: admissionOf(e),
		Balancing: "two-choices", Targets: []TargetExplanation{},
	}
	if e.Balancing.Weighted {
		out.Balancing = "weighted"
	}
	if r := e.Route; r != nil {
		out.Route = &RouteExplanation{Name: r.Name, Host: r.Host, Prefix: r.Prefix}
		for _, s := range r.Services {
			out.Route.Services = append(out.Route.Services, RouteService{s.Service, s.Weight})
		}
	}
	for _, x := range e.Balancing.Targets {
		t := targetOf(now, x)
		if x.Exclusion == wharfrouting.ExcludedLeaving {
			t.LeavingCause = a.View.LeavingCause(x.Target)
		}
		out.Targets = append(out.Targets, t)
	}
	return out
}

func accountOf(e wharfproxy.Explanation) *AccountExplanation {
	if e.Account == nil {
		return nil
	}
	out := &AccountExplanation{Name: e.Account.Name}
	if s := e.Quota; s != nil {
		out.Quota = &QuotaExplanation{
			PerSecond: e.Account.Quota.PerSecond, Burst: e.Account.Quota.Burst,
			Verdict: s.Verdict.String(), RetryAfterMs: s.RetryAfter.Milliseconds(),
			Tokens: s.Tokens, EqualShare: s.EqualShare, Allocator: s.Allocator,
		}
		if s.LeftKnown {
			out.Quota.AllocatorTokens = &s.Left
		}
	}
	return out
}

func admissionOf(e wharfproxy.Explanation) AdmissionExplanation {
	out := AdmissionExplanation{Verdict: verdictAdmitted, Share: e.Share}
	switch refusal := e.Refusal; {
	case refusal.Reason != wharfoutcome.ReasonNone:
		out.Verdict, out.Reason, out.Status = verdictRefused, string(refusal.Reason), refusal.HTTPStatus()
		out.RetryAfterMs = refusal.RetryAfter.Milliseconds()
	case e.Share < 1:
		refusal = wharfoutcome.Refuse(wharfoutcome.ReasonDownstreamOverload)
		out.Verdict, out.Reason, out.Status = verdictPartly, string(refusal.Reason), refusal.HTTPStatus()
		out.RetryAfterMs = e.RetryAfter.Milliseconds()
	}
	return out
}

func targetOf(now time.Time, x wharfrouting.TargetExplanation) TargetExplanation {
	out := TargetExplanation{
		Address: x.Target.Address, Node: x.Target.Node, FailureDomain: x.Target.FailureDomain, Instance: x.Target.Instance,
		Candidate: x.Exclusion == "", LeftOut: string(x.Exclusion), Unreachable: x.Unreachable,
		InFlight: x.InFlight, Slots: x.Target.Slots, AdmittedShare: x.AdmittedShare, LostShare: x.LossRate,
		Speed: x.Speed, DrawShare: x.DrawShare, Cost: x.Cost,
	}
	if !x.EjectedUntil.IsZero() {
		out.EjectedUntil, out.EjectedForMs = &x.EjectedUntil, x.EjectedUntil.Sub(now).Milliseconds()
	}
	if !x.SlowUntil.IsZero() {
		out.SlowStartMs = x.SlowUntil.Sub(now).Milliseconds()
	}
	if !x.ReportedAt.IsZero() {
		out.Report = &ReportExplanation{
			Running: x.Report.Running, Queued: x.Report.Queued, Limit: x.Report.Limit,
			AgeMs: now.Sub(x.ReportedAt).Milliseconds(), Current: x.Current,
		}
	}
	return out
}
