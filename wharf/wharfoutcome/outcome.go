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

// Reasons, as they appear in the wharf-reason header.
const (
	ReasonNone     Reason = ""
	ReasonOverload Reason = "overload"
	ReasonDeadline Reason = "deadline"
	// ReasonOverloadBelow refuses a client request because a downstream service of
	// the target is overloaded.
	ReasonOverloadBelow    Reason = "overload-below"
	ReasonLeaving          Reason = "leaving"
	ReasonQuarantined      Reason = "quarantined"
	ReasonSuspected        Reason = "suspected"
	ReasonAttemptsSpent    Reason = "attempts-spent"
	ReasonHomeUnreachable  Reason = "home-unreachable"
	ReasonHomeMoved        Reason = "home-moved"
	ReasonHomeCatchingUp   Reason = "home-catching-up"
	ReasonKeyClosed        Reason = "key-closed"
	ReasonKeyMismatch      Reason = "key-mismatch"
	ReasonKeyTableFull     Reason = "key-table-full"
	ReasonAnswerNotKept    Reason = "answer-not-kept"
	ReasonNoTarget         Reason = "no-target"
	ReasonUnknownService   Reason = "unknown-service"
	ReasonUnknownRoute     Reason = "unknown-route"
	ReasonNotConfigured    Reason = "not-configured"
	ReasonMissingService   Reason = "missing-service"
	ReasonMalformedContext Reason = "malformed-context"
	ReasonMalformedTimeout Reason = "malformed-timeout"
	ReasonMalformedKey     Reason = "malformed-key"
	ReasonBodyIncomplete   Reason = "body-incomplete"
	ReasonDepthExceeded    Reason = "depth-exceeded"
	ReasonUnreachable      Reason = "unreachable"
	ReasonTargetCrashed    Reason = "target-crashed"
	ReasonTargetSilent     Reason = "target-silent"
	ReasonAnswerLost       Reason = "answer-lost"
	ReasonAnswerIncomplete Reason = "answer-incomplete"
	ReasonCancelled        Reason = "cancelled"
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
	{ReasonBodyIncomplete, http.StatusBadRequest},
	{ReasonUnknownService, http.StatusNotFound},
	{ReasonUnknownRoute, http.StatusNotFound},
	{ReasonKeyMismatch, http.StatusUnprocessableEntity},
	{ReasonDepthExceeded, http.StatusLoopDetected},
}

// HTTPStatus returns the HTTP status of an outcome without a response of a target.
func (o Outcome) HTTPStatus() int {
	switch o.Kind {
	case Completed:
		if o.Reason == ReasonAnswerNotKept {
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
