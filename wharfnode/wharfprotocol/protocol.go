package wharfprotocol

import (
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"ragwortwharf.dev/wharf/wharfoutcome"
)

// MaxStatus is the highest status of a response, see RFC 9110, section 15.
const MaxStatus = 599

// Request holds what a caller states about its request in the headers.
type Request struct {
	// ID is the caller's own id of the request, empty if it gave none.
	ID string
	// Service is the called service. It is empty if the routes select it.
	Service string
	// Caller is the calling service or client account.
	Caller string
	// Key is the caller's idempotency key.
	Key string
	// Context names the request that the calling service is serving while it
	// makes this one. It is empty for a client request.
	Context string
	// ParentID is the ID of the request that the calling service may be serving while
	// it makes this one, as far as the IDs tell. It is only a hint: it counts if the
	// node's target is serving a request with this ID. It is empty if there is none.
	ParentID string
	// Timeout is how long the caller waits, zero if it gave none.
	Timeout time.Duration
	// Credential is the key of the client account that the caller sent, empty if there is none.
	Credential string
}

// CallerProtocol is the protocol between a node and its callers.
type CallerProtocol interface {
	// Identify reads the headers of a request. The node refuses the request if
	// the reason isn't ReasonNone.
	Identify(r *http.Request) (Request, wharfoutcome.Reason)
	// RemoveCredential removes the key of the client account from the headers of a request, so
	// that it isn't passed on.
	RemoveCredential(h http.Header)
	// Refuse writes the outcome of a request that has no response of a target.
	Refuse(w http.ResponseWriter, o wharfoutcome.Outcome)
	// SetResponseHeaders adds the outcome to the headers of a target's response.
	SetResponseHeaders(h http.Header)
}

// Dispatch holds what a node sends to a target together with a request.
type Dispatch struct {
	RequestID string
	Host      string
	Caller    string
	// Account is the client account that the caller has identified itself as, empty if there is
	// none.
	Account string
	// Instance identifies the incarnation of the target that the request is
	// meant for. It is empty if the target announced none.
	Instance string
	Context  string
	// Remaining is the time until the deadline of the request.
	Remaining time.Duration
}

// Classification is the meaning of a target's response.
type Classification struct {
	// Kind is Completed for a response to the request, NotRun if the target
	// reports that it did not run the request, and Unknown if the response
	// belongs to another request or doesn't come from the target.
	Kind       wharfoutcome.Kind
	Reason     wharfoutcome.Reason
	RetryAfter time.Duration
	// Unnamed is true for a refusal that doesn't name its request, so that only the connection
	// tells which one it is for.
	Unnamed bool
}

// TargetStatus is what a target says of itself in a response.
type TargetStatus struct {
	// RateLimit is how many requests a second the target takes from all nodes together.
	// It counts only if Limited is true.
	RateLimit float64
	Limited   bool
	// Leaving is true if the target is about to stop.
	Leaving bool
	// Slowness is how long work takes now, relative to the usual time, zero if the target
	// doesn't say.
	Slowness float64
}

// TargetProtocol is the protocol between a node and its targets.
type TargetProtocol interface {
	// SetRequestHeaders sets the headers of a request to a target.
	SetRequestHeaders(r *http.Request, d Dispatch)
	// Classify returns the meaning of a target's response.
	Classify(response *http.Response, d Dispatch) Classification
	// TargetStatus returns what the target says of itself in the headers of a response.
	TargetStatus(h http.Header) TargetStatus
}

// maxRateLimit is more than any target takes, in requests a second. Larger limits are reduced
// to it, so that numbers of requests that are computed from them are in the range of an integer.
const maxRateLimit = 1e6

// ParseRateLimit parses a decimal number of requests a second. It returns false if the text
// is empty or not such a number.
func ParseRateLimit(text string) (float64, bool) {
	limit, err := strconv.ParseFloat(text, 64)
	return min(limit, maxRateLimit), err == nil && limit >= 0 && !math.IsInf(limit, 1)
}

// minSlowness and maxSlowness bound what a target can say of how long work takes, relative to the
// usual time.
const (
	minSlowness = 0.1
	maxSlowness = 100
)

// ParseSlowness parses a decimal number that is how long work takes in hundredths of the usual
// time. It returns zero if the text isn't such a number.
func ParseSlowness(text string) float64 {
	percent, err := strconv.ParseFloat(text, 64)
	if err != nil || !(percent > 0) {
		return 0
	}
	return min(max(percent/100, minSlowness), maxSlowness)
}

// Protocol is the protocol between a node and its callers and targets.
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

// WriteOutcome writes the response to a request that has no response of a target:
// the status, and the outcome as a line of text.
func WriteOutcome(w http.ResponseWriter, status int, o wharfoutcome.Outcome) {
	text := o.Kind.String() + ": " + string(o.Reason) + "\n"
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}
