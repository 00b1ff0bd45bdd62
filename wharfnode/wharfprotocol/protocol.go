package wharfprotocol

import (
	"io"
	"net"
	"net/http"
	"time"

	"ragwortwharf.dev/wharf/wharfoutcome"
)

// Request is what a caller says of its request.
type Request struct {
	// ID is the caller's own id of the request, empty if it gave none.
	ID string
	// Service is the service that is called. It is empty if the routes decide.
	Service string
	// Caller is the service or client that calls.
	Caller string
	// Key is the caller's idempotency key.
	Key string
	// Context ties the request to the one it is made for.
	Context string
	// Timeout is how long the caller waits, zero if it doesn't say.
	Timeout time.Duration
}

// CallerProtocol is how callers are spoken with.
type CallerProtocol interface {
	// Identify reads what a request says of itself. A reason other than
	// ReasonNone refuses the request.
	Identify(r *http.Request) (Request, wharfoutcome.Reason)
	// Refuse writes an outcome that has no answer of a target.
	Refuse(w http.ResponseWriter, o wharfoutcome.Outcome)
	// SetResponseHeaders marks the headers of a target's answer.
	SetResponseHeaders(h http.Header)
}

// Dispatch is what a target is told with a request.
type Dispatch struct {
	RequestID string
	Host      string
	Caller    string
	// Instance is the life of the target that the request is meant for, empty
	// if the target told none.
	Instance string
	Context  string
	// Remaining is the time in which an answer is still of use.
	Remaining time.Duration
}

// Classification is what an answer of a target means.
type Classification struct {
	// Kind is Completed for an answer to the request, NotRun if the target says
	// that it did not run it, and Unknown if the answer belongs to another
	// request or isn't the target's.
	Kind       wharfoutcome.Kind
	Reason     wharfoutcome.Reason
	RetryAfter time.Duration
}

// TargetProtocol is how targets are spoken with.
type TargetProtocol interface {
	// SetRequestHeaders completes a request to a target.
	SetRequestHeaders(r *http.Request, d Dispatch)
	// Classify decides what an answer means.
	Classify(answer *http.Response, d Dispatch) Classification
}

// Protocol is how callers and targets are spoken with.
type Protocol interface {
	CallerProtocol
	TargetProtocol
}

// HostOf returns a host without its port.
func HostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// WriteOutcome ends an answer without a target: its status, and the outcome as a
// line of text.
func WriteOutcome(w http.ResponseWriter, status int, o wharfoutcome.Outcome) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, o.Kind.String()+": "+string(o.Reason)+"\n")
}
