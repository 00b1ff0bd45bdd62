package wharfbudget

import "sync"

// Defaults of a RetryBudget.
const (
	// successesPerRetry is how many successes pay for one retry.
	successesPerRetry = 10
	// retryBurst is the capacity of the bucket, in retries.
	retryBurst = 10
)

// RetryBudget is a token bucket that keeps the retries of a node to a share of
// its successes. The zero RetryBudget is full.
type RetryBudget struct {
	mu sync.Mutex
	// spent counts in successes, so that no fraction is lost.
	spent int
}

// Success refills the bucket by the share of one success.
func (b *RetryBudget) Success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(b.spent-1, 0)
}

// Allow takes one retry from the bucket, or reports false if it is empty.
func (b *RetryBudget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+successesPerRetry > retryBurst*successesPerRetry {
		return false
	}
	b.spent += successesPerRetry
	return true
}
