package wharftimer

import (
	"context"
	"time"
)

// Sleep waits for d and returns true. If the context ends first, it returns
// false at once.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
