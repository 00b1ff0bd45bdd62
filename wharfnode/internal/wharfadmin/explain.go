package wharfadmin

import (
	"net/http"

	"ragwortwharf.dev/wharf/wharfconfig"
)

// Explanation describes how the node would treat a request. Each rule field names
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
}

func (a *API) explain(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if q.Get("service") == "" {
		reply(w, http.StatusBadRequest, apiError{"service-missing", "the parameter service is needed"})
		return
	}
	method := q.Get("method")
	if method == "" {
		method = http.MethodGet
	}
	reply(w, http.StatusOK, explanationOf(a.View.Config().Classify(wharfconfig.RequestAttributes{
		Service: q.Get("service"), Method: method, Path: q.Get("path"), Caller: q.Get("caller"),
	})))
}

func explanationOf(p wharfconfig.Policy) Explanation {
	return Explanation{
		Labels: p.Labels.String(), Request: p.Request,
		Class: p.Class.Name, Rank: p.Class.Rank, ClassRule: p.ClassRule,
		Idempotent: p.Idempotent, IdempotentRule: p.IdempotentRule,
		TimeoutMs: p.Timeout.Milliseconds(), MaxTimeoutMs: p.MaxTimeout.Milliseconds(), TimeoutRule: p.TimeoutRule,
		Attempts: p.Attempts, AttemptsRule: p.AttemptsRule,
	}
}
