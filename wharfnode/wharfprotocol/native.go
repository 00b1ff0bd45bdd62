package wharfprotocol

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfwire"
)

const (
	// maxKeyLength bounds the key of a caller, in bytes.
	maxKeyLength = 256
	// maxNameLength bounds the names of services and callers, in bytes.
	maxNameLength = 256
	// maxRetryAfter bounds the time to retry that a target names. It is longer than any
	// request.
	maxRetryAfter = time.Hour
)

// Native is the project's own protocol. It uses the headers of package wharfwire.
type Native struct{}

// Identify reads the headers of a request. It returns the reason for a refusal if
// the service is missing or a header is malformed. A service name that is too long
// counts as missing, and a caller name that is too long as a malformed key.
func (Native) Identify(r *http.Request) (Request, wharfoutcome.Reason) {
	q := Request{
		Service: serviceOf(r),
		Caller:  r.Header.Get(wharfwire.HeaderCaller),
		Key:     r.Header.Get(wharfwire.HeaderIdempotencyKey),
		Context: r.Header.Get(wharfwire.HeaderContext),

		Credential: r.Header.Get(wharfwire.HeaderAccountKey),
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

// serviceOf returns the service that a request names in its header, or else in
// its host. It is empty if the host is an IP address or localhost.
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

// RemoveCredential removes the header with the key.
func (Native) RemoveCredential(h http.Header) {
	h.Del(wharfwire.HeaderAccountKey)
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

// SetResponseHeaders sets the outcome header to completed.
func (Native) SetResponseHeaders(h http.Header) {
	h.Set(wharfwire.HeaderOutcome, wharfoutcome.Completed.String())
}

// SetRequestHeaders sets the context, the remaining time, at least 1 ms, and the client account.
func (Native) SetRequestHeaders(r *http.Request, d Dispatch) {
	r.Header.Del(wharfwire.HeaderAccount)
	if d.Account != "" {
		r.Header.Set(wharfwire.HeaderAccount, d.Account)
	}
	r.Header.Set(wharfwire.HeaderContext, d.Context)
	r.Header.Set(wharfwire.HeaderTimeout, strconv.FormatInt(max(d.Remaining.Milliseconds(), 1), 10))
}

// Classify returns Completed unless the target reports in the outcome header that
// it did not run the request.
func (Native) Classify(response *http.Response, _ Dispatch) Classification {
	if response.Header.Get(wharfwire.HeaderOutcome) != wharfoutcome.NotRun.String() {
		return Classification{Kind: wharfoutcome.Completed}
	}
	c := Classification{Kind: wharfoutcome.NotRun, Reason: wharfoutcome.Reason(response.Header.Get(wharfwire.HeaderReason)), Unnamed: true}
	if c.Reason == wharfoutcome.ReasonNone || !utf8.ValidString(string(c.Reason)) {
		c.Reason = wharfoutcome.ReasonOverload
	}
	// The number of a text that is out of range is the largest or least one.
	seconds, err := strconv.Atoi(response.Header.Get(wharfwire.HeaderRetryAfter))
	if err == nil || errors.Is(err, strconv.ErrRange) {
		c.RetryAfter = time.Duration(min(max(seconds, 0), int(maxRetryAfter.Seconds()))) * time.Second
	}
	return c
}

// TargetStatus reads the headers with which a target names a rate limit and says that it
// leaves.
func (Native) TargetStatus(h http.Header) TargetStatus {
	limit, limited := ParseRateLimit(h.Get(wharfwire.HeaderRateLimit))
	return TargetStatus{RateLimit: limit, Limited: limited, Leaving: h.Get(wharfwire.HeaderLeaving) == "1"}
}
