package wharftarget

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharfoutcome"
)

// TestEndReason covers the reasons for a failed dispatch other than the target, which
// must not be recorded as a crash. A deadline that has passed counts even if its
// context has not ended yet.
func TestEndReason(t *testing.T) {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	tests := []struct {
		name      string
		ctx       context.Context
		remaining time.Duration
		aborted   bool
		want      wharfoutcome.Reason
	}{
		{"none", context.Background(), time.Hour, false, wharfoutcome.ReasonNone},
		{"deadline", context.Background(), 0, false, wharfoutcome.ReasonDeadline},
		{"deadline and context", cancelled, 0, true, wharfoutcome.ReasonDeadline},
		{"sender cancelled", cancelled, time.Hour, true, wharfoutcome.ReasonCancelled},
		{"body aborted", context.Background(), time.Hour, true, wharfoutcome.ReasonBodyIncomplete},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := &call{deadline: time.Now().Add(tc.remaining), body: &callBody{}}
			c.body.aborted.Store(tc.aborted)
			is.New(t).Equal(c.endReason(tc.ctx), tc.want)
		})
	}
}
