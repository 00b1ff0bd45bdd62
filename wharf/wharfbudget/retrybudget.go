package wharfbudget

import "sync"

// Limits of a RetryBudget.
const (
	// successesPerRetry is the number of successes that allow one retry.
	successesPerRetry = 10
	// retryBurst is the capacity of the bucket, in retries.
	retryBurst = 10
)

// RetryBudget is a token bucket that limits the retries of a node to a share of its
// successes. The zero RetryBudget is full. It is safe for concurrent use.
type RetryBudget struct {
	mu sync.Mutex
	// spent is the number of tokens taken. One retry costs successesPerRetry
	// tokens and a success adds one, so that no fractions are lost.
	spent int
}

// Success puts one token into the bucket.
func (b *RetryBudget) Success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(b.spent-1, 0)
}

// Allow takes the tokens of one retry. It reports false if there are too few.
func (b *RetryBudget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+successesPerRetry > retryBurst*successesPerRetry {
		return false
	}
	b.spent += successesPerRetry
	return true
}
