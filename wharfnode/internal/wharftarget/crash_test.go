package wharftarget

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharfoutcome"
)

// TestExcuse brings what may end a dispatch without fault of the target. A
// deadline that has passed counts also before its context has ended.
func TestExcuse(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	tests := []struct {
		name   string
		ctx    context.Context
		left   time.Duration
		broken bool
		want   wharfoutcome.Reason
	}{
		{"none", context.Background(), time.Hour, false, wharfoutcome.ReasonNone},
		{"deadline", context.Background(), 0, false, wharfoutcome.ReasonDeadline},
		{"deadline and context", ended, 0, true, wharfoutcome.ReasonDeadline},
		{"sender gone", ended, time.Hour, true, wharfoutcome.ReasonCancelled},
		{"body broken off", context.Background(), time.Hour, true, wharfoutcome.ReasonBodyIncomplete},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := &call{deadline: time.Now().Add(tc.left), body: &callBody{}}
			c.body.broken.Store(tc.broken)
			is.New(t).Equal(c.endReason(tc.ctx), tc.want)
		})
	}
}
