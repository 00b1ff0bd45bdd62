package wharfbudget

import (
	"math/rand/v2"
	"slices"
	"time"

	"ragwortwharf.dev/wharf/wharfoutcome"
)

// Failure describes a failed attempt as its sender knows it.
type Failure struct {
	Outcome    wharfoutcome.Outcome
	Idempotent bool
	// Retried reports whether a downstream hop has already retried.
	Retried bool
	// BodyConsumed reports whether the body was streamed and can't be sent again.
	BodyConsumed bool
	// Suspected reports whether the request was in flight during a crash.
	Suspected bool
	// NoAlternative reports whether no other target would accept the request.
	NoAlternative bool
}

// finalReasons lists the reasons of refusals that every target would repeat.
var finalReasons = []wharfoutcome.Reason{
	wharfoutcome.ReasonDeadline,
	wharfoutcome.ReasonDownstreamOverload,
	wharfoutcome.ReasonQuarantined,
	wharfoutcome.ReasonKeyMismatch,
	wharfoutcome.ReasonKeyTableFull,
	wharfoutcome.ReasonBodyIncomplete,
	wharfoutcome.ReasonAttemptsSpent,
	wharfoutcome.ReasonCancelled,
}

// MayRetry reports whether the hop that sent a failed attempt may retry, as far as
// the failure is concerned. Grant, deadline and retry budget can still forbid it.
func MayRetry(f Failure) bool {
	if f.Outcome.Kind == wharfoutcome.Completed || f.Retried || f.BodyConsumed || f.Suspected || f.NoAlternative {
		return false
	}
	for _, r := range finalReasons {
		if f.Outcome.Reason == r {
			return false
		}
	}
	return f.Outcome.Kind == wharfoutcome.NotRun || f.Idempotent
}

// misroutedReasons lists the reasons of refusals that say nothing about the load of the
// service, only that the target that was chosen can't be used.
var misroutedReasons = []wharfoutcome.Reason{
	wharfoutcome.ReasonUnreachable,
	wharfoutcome.ReasonTargetUnresponsive,
	wharfoutcome.ReasonNoTarget,
	wharfoutcome.ReasonLeaving,
}

// Misrouted reports whether an attempt reached no target because the chosen one can't be
// used. Another attempt then adds no load to the service, so that the retry budget
// doesn't have to limit it; the attempts of the request still do.
func Misrouted(o wharfoutcome.Outcome) bool {
	return o.Kind == wharfoutcome.NotRun && slices.Contains(misroutedReasons, o.Reason)
}

const (
	backoffBase = 5 * time.Millisecond
	backoffMax  = 200 * time.Millisecond
)

// Backoff returns the pause before the n-th retry, counted from one: exponential
// backoff up to backoffMax with full jitter.
func Backoff(rng *rand.Rand, n int) time.Duration {
	ceiling := min(backoffBase<<min(n, 10), backoffMax)
	return time.Duration(rng.Int64N(int64(ceiling)))
}
