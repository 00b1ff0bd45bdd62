package wharfbudget

import "sync"

// Defaults of a RetryRatio.
const (
	// successesPerRetry is how many successes pay for one retry.
	successesPerRetry = 10
	// retryBurst is the capacity of the bucket, in retries.
	retryBurst = 10
)

// RetryRatio is a token bucket that keeps the retries of a node to a share of
// its successes. The zero RetryRatio is full.
type RetryRatio struct {
	mu sync.Mutex
	// spent counts in successes, so that no fraction is lost.
	spent int
}

// Success refills the bucket by the share of one success.
func (b *RetryRatio) Success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(b.spent-1, 0)
}

// Allow takes one retry from the bucket, or reports false if it is empty.
func (b *RetryRatio) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+successesPerRetry > retryBurst*successesPerRetry {
		return false
	}
	b.spent += successesPerRetry
	return true
}
