package wharfprotocol

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfwire"
)

const (
	// maxKeyLength bounds the key of a caller, in bytes.
	maxKeyLength = 256
	// maxNameLength bounds the names of services and callers, in bytes.
	maxNameLength = 256
)

// Native is the project's own dialect.
type Native struct{}

// Identify reads the headers of package wharfwire.
func (Native) Identify(r *http.Request) (Request, wharfoutcome.Reason) {
	q := Request{
		Service: serviceOf(r),
		Caller:  r.Header.Get(wharfwire.HeaderCaller),
		Key:     r.Header.Get(wharfwire.HeaderIdempotencyKey),
		Context: r.Header.Get(wharfwire.HeaderContext),
	}
	if q.Service == "" || len(q.Service) > maxNameLength {
		return q, wharfoutcome.ReasonMissingService
	}
	if len(q.Key) > maxKeyLength || len(q.Caller) > maxNameLength {
		return q, wharfoutcome.ReasonMalformedKey
	}
	if text := r.Header.Get(wharfwire.HeaderTimeout); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms <= 0 {
			return q, wharfoutcome.ReasonMalformedTimeout
		}
		q.Timeout = time.Duration(ms) * time.Millisecond
	}
	return q, wharfoutcome.ReasonNone
}

// serviceOf returns the service that a request names: by header, else by host.
func serviceOf(r *http.Request) string {
	if name := r.Header.Get(wharfwire.HeaderService); name != "" {
		return name
	}
	host := HostOf(r.Host)
	if net.ParseIP(host) != nil || host == "localhost" {
		return ""
	}
	return host
}

// Refuse writes the outcome as headers and as a line of text.
func (Native) Refuse(w http.ResponseWriter, o wharfoutcome.Outcome) {
	h := w.Header()
	h.Set(wharfwire.HeaderOutcome, o.Kind.String())
	h.Set(wharfwire.HeaderReason, string(o.Reason))
	if o.RetryAfter > 0 {
		h.Set(wharfwire.HeaderRetryAfter, o.RetryAfterSeconds())
		h.Set(wharfwire.HeaderRetryAfterMs, strconv.FormatInt(o.RetryAfter.Milliseconds(), 10))
	}
	WriteOutcome(w, o.HTTPStatus(), o)
}

// SetResponseHeaders names the outcome.
func (Native) SetResponseHeaders(h http.Header) {
	h.Set(wharfwire.HeaderOutcome, wharfoutcome.Completed.String())
}

// SetRequestHeaders sets the context and the time that is left.
func (Native) SetRequestHeaders(r *http.Request, d Dispatch) {
	r.Header.Set(wharfwire.HeaderContext, d.Context)
	r.Header.Set(wharfwire.HeaderTimeout, strconv.FormatInt(max(d.Remaining.Milliseconds(), 1), 10))
}

// Classify believes a target that says it did not run the request.
func (Native) Classify(answer *http.Response, _ Dispatch) Classification {
	if answer.Header.Get(wharfwire.HeaderOutcome) != wharfoutcome.NotRun.String() {
		return Classification{Kind: wharfoutcome.Completed}
	}
	v := Classification{Kind: wharfoutcome.NotRun, Reason: wharfoutcome.Reason(answer.Header.Get(wharfwire.HeaderReason))}
	if v.Reason == wharfoutcome.ReasonNone {
		v.Reason = wharfoutcome.ReasonOverload
	}
	seconds, err := strconv.Atoi(answer.Header.Get(wharfwire.HeaderRetryAfter))
	if err == nil && seconds > 0 {
		v.RetryAfter = time.Duration(seconds) * time.Second
	}
	return v
}
