package wharfoutcome

import (
	"math"
	"net/http"
	"strconv"
	"time"
)

// Kind is what is known about the execution of a request.
type Kind uint8

// Kinds of outcomes. The zero Kind is Unknown, so that an outcome whose kind was
// never set doesn't claim that the request ran or did not run.
const (
	// Unknown means the request may or may not have run.
	Unknown Kind = iota
	// NotRun means the request did not run and never will.
	NotRun
	// Completed means the target responded, with any status.
	Completed
)

// String returns the kind as written in the wharf-outcome header.
func (k Kind) String() string {
	switch k {
	case NotRun:
		return "not-run"
	case Completed:
		return "completed"
	default:
		return "unknown"
	}
}

// Reason is the kebab-case cause of an outcome.
type Reason string

// Reasons, as they appear in the wharf-reason header. The values stay as they are
// for existing clients, also where a value is older than the name of its constant.
const (
	ReasonNone     Reason = ""
	ReasonOverload Reason = "overload"
	// The deadline has passed, or the target can't respond before it.
	ReasonDeadline Reason = "deadline"
	// ReasonDownstreamOverload refuses a client request because a downstream service of
	// the target is overloaded.
	ReasonDownstreamOverload Reason = "overload-below"
	// The target or its node is leaving and accepts no new requests.
	ReasonLeaving Reason = "leaving"
	// The node has no memory left for the request.
	ReasonMemory Reason = "memory"
	// The request was in flight during several crashes, so no target may run it.
	ReasonQuarantined Reason = "quarantined"
	// The request was in flight during a crash, or may have been, and its exposure
	// limit (wharfrouting.ExposureLimit) excludes the target or all targets.
	ReasonSuspected Reason = "suspected"
	// No attempts are left in the grant (wharfbudget.Grant), or the call that the
	// grant belongs to has ended.
	ReasonAttemptsSpent Reason = "attempts-spent"

	// In the next three values, the home of an idempotency key is its owner, the
	// node that may run requests with the key (see wharfidempotency).

	// The key has no owner, or a previous owner could not be asked about it.
	ReasonOwnerUnreachable Reason = "home-unreachable"
	// The node doesn't own the key, or a previous owner may have run it.
	ReasonOwnerMoved Reason = "home-moved"
	// The node has not read enough of the log to know whether it owns the key.
	ReasonOwnerCatchingUp Reason = "home-catching-up"
	// The key was closed on the node, so the node must not run it.
	ReasonKeyClosed Reason = "key-closed"
	// The key was already used for a different request.
	ReasonKeyMismatch Reason = "key-mismatch"
	// The owner has no space for another key.
	ReasonKeyTableFull Reason = "key-table-full"
	// The request has completed, but its response was not stored.
	ReasonResponseNotStored Reason = "answer-not-kept"

	// No target of the service is available for an attempt.
	ReasonNoTarget       Reason = "no-target"
	ReasonUnknownService Reason = "unknown-service"
	// No route matches the host and path of the request.
	ReasonUnknownRoute Reason = "unknown-route"
	// The node has not received the routes yet.
	ReasonNotConfigured Reason = "not-configured"
	// The key of the caller belongs to no client account, or the caller sent none.
	ReasonUnknownKey Reason = "unknown-key"
	// The requests of the client account exceed its quota.
	ReasonQuota Reason = "quota"
	// No node that allocates the quota of the client account could be reached.
	ReasonQuotaUnavailable Reason = "quota-unavailable"
	// The keys that are in force haven't been confirmed for too long.
	ReasonKeysUnconfirmed Reason = "keys-unconfirmed"
	// The request names no service.
	ReasonMissingService   Reason = "missing-service"
	ReasonMalformedContext Reason = "malformed-context"
	ReasonMalformedTimeout Reason = "malformed-timeout"
	// The key or the name of the caller is too long.
	ReasonMalformedKey Reason = "malformed-key"
	// The path, the ID, the caller or the key isn't UTF-8, so that it can't be sent to
	// another node.
	ReasonNotUTF8 Reason = "not-utf8"
	// The path has characters that a URI can't have, so that it can't be sent unchanged.
	ReasonMalformedURI Reason = "malformed-uri"
	// The body of the request was truncated.
	ReasonBodyIncomplete Reason = "body-incomplete"
	// The call chain is deeper than wharfwire.MaxDepth.
	ReasonDepthExceeded Reason = "depth-exceeded"

	// There was no connection to the target or its node, so nothing was sent.
	ReasonUnreachable Reason = "unreachable"
	// The connection to the target was lost, which counts as a crash of the target.
	ReasonTargetCrashed Reason = "target-crashed"
	// The target sends no responses and accepts no new connections.
	ReasonTargetUnresponsive Reason = "target-silent"
	// The request was sent and no response arrived, but the target has not crashed
	// as far as is known.
	ReasonResponseLost Reason = "answer-lost"
	// The response was truncated.
	ReasonResponseIncomplete Reason = "answer-incomplete"
	// The sender disconnected or cancelled the request.
	ReasonCancelled Reason = "cancelled"
)

// Outcome is the final result of one request or of one attempt of it.
type Outcome struct {
	Kind   Kind
	Reason Reason
	// RetryAfter is how long the caller should wait before it retries. Zero
	// means no hint.
	RetryAfter time.Duration
}

// Done returns the outcome of a request to which the target responded.
func Done() Outcome {
	return Outcome{Kind: Completed}
}

// Refuse returns the outcome of a request that did not run.
func Refuse(reason Reason) Outcome {
	return Outcome{Kind: NotRun, Reason: reason}
}

// Uncertain returns the outcome of a request that may have run.
func Uncertain(reason Reason) Outcome {
	return Outcome{Kind: Unknown, Reason: reason}
}

// RanToEnd reports whether a response with an HTTP status shows that the target ran the
// request to its end. An error of the target doesn't show it: the run may have been ended
// early, for example at the deadline.
func RanToEnd(status int) bool {
	return status < http.StatusInternalServerError
}

// WithRetryAfter returns the outcome with a retry-after hint.
func (o Outcome) WithRetryAfter(d time.Duration) Outcome {
	o.RetryAfter = d
	return o
}

// reasonStatus maps a reason to an HTTP status.
type reasonStatus struct {
	reason Reason
	status int
}

// requestErrors lists the reasons for which the request itself is at fault.
var requestErrors = []reasonStatus{
	{ReasonMissingService, http.StatusBadRequest},
	{ReasonMalformedContext, http.StatusBadRequest},
	{ReasonMalformedTimeout, http.StatusBadRequest},
	{ReasonMalformedKey, http.StatusBadRequest},
	{ReasonNotUTF8, http.StatusBadRequest},
	{ReasonMalformedURI, http.StatusBadRequest},
	{ReasonBodyIncomplete, http.StatusBadRequest},
	{ReasonUnknownService, http.StatusNotFound},
	{ReasonUnknownRoute, http.StatusNotFound},
	{ReasonUnknownKey, http.StatusUnauthorized},
	{ReasonQuota, http.StatusTooManyRequests},
	{ReasonKeyMismatch, http.StatusUnprocessableEntity},
	{ReasonDepthExceeded, http.StatusLoopDetected},
}

// HTTPStatus returns the HTTP status of an outcome without a response of a target.
func (o Outcome) HTTPStatus() int {
	switch o.Kind {
	case Completed:
		if o.Reason == ReasonResponseNotStored {
			// The request took effect, but its response was not stored.
			return http.StatusConflict
		}
		return http.StatusOK
	case NotRun:
		for _, row := range requestErrors {
			if row.reason == o.Reason {
				return row.status
			}
		}
		return http.StatusServiceUnavailable
	default:
		return http.StatusGatewayTimeout
	}
}

// RetryAfterSeconds formats the retry-after hint for the retry-after header. The
// header has whole seconds only, so the hint is rounded up.
func (o Outcome) RetryAfterSeconds() string {
	return strconv.Itoa(int(math.Ceil(o.RetryAfter.Seconds())))
}
