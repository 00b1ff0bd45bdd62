package wharfoutcome

import (
	"math"
	"net/http"
	"strconv"
	"time"
)

// Kind says how much is known about the execution of a request.
type Kind uint8

// The zero Kind is Unknown, so that a forgotten assignment never claims more
// than is known.
const (
	// Unknown means the request may or may not have run.
	Unknown Kind = iota
	// NotRun means the request did not run and never will.
	NotRun
	// Completed means the target answered, with any status.
	Completed
)

// String returns the header form of the kind.
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
	// ReasonOverloadBelow refuses fresh work because what the target calls is
	// overloaded.
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

// Outcome is the final word on one request or on one attempt of it.
type Outcome struct {
	Kind   Kind
	Reason Reason
	// RetryAfter says when to come back. Zero means no advice.
	RetryAfter time.Duration
}

// Done is the outcome of a request that its target answered.
func Done() Outcome {
	return Outcome{Kind: Completed}
}

// Refuse is the outcome of a request that did not run.
func Refuse(reason Reason) Outcome {
	return Outcome{Kind: NotRun, Reason: reason}
}

// Uncertain is the outcome of a request that may have run.
func Uncertain(reason Reason) Outcome {
	return Outcome{Kind: Unknown, Reason: reason}
}

// WithRetryAfter returns the outcome with advice on when to come back.
func (o Outcome) WithRetryAfter(d time.Duration) Outcome {
	o.RetryAfter = d
	return o
}

type statusOfReason struct {
	reason Reason
	status int
}

// badInput lists the reasons that blame the request itself.
var badInput = []statusOfReason{
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

// HTTPStatus maps an outcome that carries no answer of a target to a status.
func (o Outcome) HTTPStatus() int {
	switch o.Kind {
	case Completed:
		if o.Reason == ReasonAnswerNotKept {
			// The request took effect, but this is not its answer.
			return http.StatusConflict
		}
		return http.StatusOK
	case NotRun:
		for _, row := range badInput {
			if row.reason == o.Reason {
				return row.status
			}
		}
		return http.StatusServiceUnavailable
	default:
		return http.StatusGatewayTimeout
	}
}

// RetryAfterSeconds formats the advice for the retry-after header. The header
// has whole seconds only, so the advice is rounded up.
func (o Outcome) RetryAfterSeconds() string {
	return strconv.Itoa(int(math.Ceil(o.RetryAfter.Seconds())))
}
