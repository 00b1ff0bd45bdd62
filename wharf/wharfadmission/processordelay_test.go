package wharfadmission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPauseIsNoProcessorDelay guards against a paused process, or an idle one, that counts
// as short of processor time, and against a node that isn't seen to be short of it.
func TestPauseIsNoProcessorDelay(t *testing.T) {
	is := is.New(t)
	const interval = time.Millisecond
	now := time.Unix(1000, 0)
	var d ProcessorDelay
	observe := func(requests int, wait time.Duration) {
		for range requests {
			now = now.Add(interval)
			d.Observe(now, wait)
		}
	}
	observe(500, time.Millisecond)
	is.True(!d.Short(now))
	is.Equal(d.Mean(now), time.Millisecond)
	observe(500, 30*time.Millisecond)
	is.True(d.Short(now))
	now = now.Add(3 * time.Second)
	is.True(!d.Short(now)) // nothing waits
	observe(1, 3*time.Second)
	is.True(!d.Short(now)) // the process was paused
	observe(500, time.Millisecond)
	is.True(!d.Short(now))
}
