package wharfoutcome

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestHTTPStatus(t *testing.T) {
	tests := []struct {
		name    string
		outcome Outcome
		want    int
	}{
		{"zero value is unknown", Outcome{}, 504},
		{"completed", Done(), 200},
		{"overload", Refuse(ReasonOverload), 503},
		{"unknown service", Refuse(ReasonUnknownService), 404},
		{"key mismatch", Refuse(ReasonKeyMismatch), 422},
		{"malformed context", Refuse(ReasonMalformedContext), 400},
		{"response lost", Uncertain(ReasonResponseLost), 504},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is.New(t).Equal(tc.outcome.HTTPStatus(), tc.want)
		})
	}
}

func TestRetryAfterRoundsUp(t *testing.T) {
	o := Refuse(ReasonOverload).WithRetryAfter(1100 * time.Millisecond)
	is.New(t).Equal(o.RetryAfterSeconds(), "2")
}
