package wharfclock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// suspensionAge is how long Recent relies on the last known time of suspension, because a call to
// the kernel takes longer than the rest of a request for a token.
const suspensionAge = time.Millisecond

// Clock is a monotonic clock that goes on while the VM is suspended. The zero Clock is ready to
// use. It is safe for concurrent use. Times of different clocks can't be compared.
type Clock struct {
	once  sync.Once
	start time.Time
	boot  time.Duration
	// suspended is how long the VM had been suspended since the start at the time checkedAt, in
	// nanoseconds. checkedAt counts from the start, without suspension, and is zero if suspended
	// isn't known.
	suspended, checkedAt atomic.Int64
}

// Now returns the present time.
func (c *Clock) Now() time.Time {
	c.begin()
	// Go's monotonic clock stops in a suspended VM. The time since boot doesn't, but is not the
	// one that tests advance.
	return c.start.Add(max(time.Since(c.start), sinceBoot()-c.boot))
}

// Recent returns the present time like Now, but may miss a suspension if the VM has run for less
// than suspensionAge since it ended.
func (c *Clock) Recent() time.Time {
	c.begin()
	elapsed := time.Since(c.start)
	if checkedAt := time.Duration(c.checkedAt.Load()); checkedAt == 0 || elapsed-checkedAt >= suspensionAge {
		c.suspended.Store(int64(max(sinceBoot()-c.boot-elapsed, 0)))
		c.checkedAt.Store(int64(elapsed))
	}
	return c.start.Add(elapsed + time.Duration(c.suspended.Load()))
}

func (c *Clock) begin() {
	c.once.Do(func() { c.start, c.boot = time.Now(), sinceBoot() })
}

// sinceBoot returns the time since the VM was started, suspension included, zero if it isn't
// known.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
