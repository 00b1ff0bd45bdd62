package wharfbudget

import (
	"math/rand/v2"
	"time"

	"ragwortwharf.dev/wharf/wharfoutcome"
)

// Failure is what a hop knows when an attempt has failed.
type Failure struct {
	Outcome    wharfoutcome.Outcome
	Idempotent bool
	// Retried says that a hop below has already tried again.
	Retried bool
	// BodyConsumed says that the body was streamed and can't be sent again.
	BodyConsumed bool
	// Suspected says that the request was in flight in a crash.
	Suspected bool
	// NoAlternative says that no other target would take the request.
	NoAlternative bool
}

// finalReasons lists refusals that hold wherever the request is sent.
var finalReasons = []wharfoutcome.Reason{
	wharfoutcome.ReasonDeadline,
	wharfoutcome.ReasonOverloadBelow,
	wharfoutcome.ReasonQuarantined,
	wharfoutcome.ReasonKeyMismatch,
	wharfoutcome.ReasonKeyTableFull,
	wharfoutcome.ReasonBodyIncomplete,
	wharfoutcome.ReasonAttemptsSpent,
	wharfoutcome.ReasonCancelled,
}

// MayRetry decides whether the hop right above a failure may try again,
// attempts, deadline and retry ratio permitting.
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

const (
	backoffBase = 5 * time.Millisecond
	backoffMax  = 200 * time.Millisecond
)

// Backoff returns the pause before the n-th retry, counted from one, with
// full jitter.
func Backoff(rng *rand.Rand, n int) time.Duration {
	ceiling := min(backoffBase<<min(n, 10), backoffMax)
	return time.Duration(rng.Int64N(int64(ceiling)))
}
