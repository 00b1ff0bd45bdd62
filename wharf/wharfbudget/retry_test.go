package wharfbudget

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharfoutcome"
)

func TestMayRetry(t *testing.T) {
	refused := wharfoutcome.Refuse(wharfoutcome.ReasonOverload)
	lost := wharfoutcome.Uncertain(wharfoutcome.ReasonResponseLost)
	tests := []struct {
		name    string
		failure Failure
		want    bool
	}{
		{"not run", Failure{Outcome: refused}, true},
		{"unknown", Failure{Outcome: lost}, false},
		{"unknown but idempotent", Failure{Outcome: lost, Idempotent: true}, true},
		{"completed", Failure{Outcome: wharfoutcome.Done(), Idempotent: true}, false},
		{"retried downstream", Failure{Outcome: refused, Retried: true}, false},
		{"body streamed", Failure{Outcome: refused, BodyConsumed: true}, false},
		{"suspected of a crash", Failure{Outcome: lost, Idempotent: true, Suspected: true}, false},
		{"no alternative target", Failure{Outcome: refused, NoAlternative: true}, false},
		{"deadline", Failure{Outcome: wharfoutcome.Refuse(wharfoutcome.ReasonDeadline)}, false},
		{"quarantined", Failure{Outcome: wharfoutcome.Refuse(wharfoutcome.ReasonQuarantined), Idempotent: true}, false},
		{"leaving", Failure{Outcome: wharfoutcome.Refuse(wharfoutcome.ReasonLeaving)}, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is.New(t).Equal(MayRetry(tc.failure), tc.want)
		})
	}
}

// TestMisrouted checks that only refusals that say nothing about the load of the service
// are exempt from the retry budget.
func TestMisrouted(t *testing.T) {
	tests := []struct {
		name    string
		outcome wharfoutcome.Outcome
		want    bool
	}{
		{"node unreachable", wharfoutcome.Refuse(wharfoutcome.ReasonUnreachable), true},
		{"target unresponsive", wharfoutcome.Refuse(wharfoutcome.ReasonTargetUnresponsive), true},
		{"target of another service", wharfoutcome.Refuse(wharfoutcome.ReasonNoTarget), true},
		{"leaving", wharfoutcome.Refuse(wharfoutcome.ReasonLeaving), true},
		{"overload", wharfoutcome.Refuse(wharfoutcome.ReasonOverload), false},
		{"overload downstream", wharfoutcome.Refuse(wharfoutcome.ReasonDownstreamOverload), false},
		{"may have run on an unresponsive target", wharfoutcome.Uncertain(wharfoutcome.ReasonTargetUnresponsive), false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is.New(t).Equal(Misrouted(tc.outcome), tc.want)
		})
	}
}

func TestBackoffIsBounded(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for n := 1; n < 50; n++ {
		if d := Backoff(rng, n); d < 0 || d >= backoffMax {
			t.Fatal(n, d)
		}
	}
}
