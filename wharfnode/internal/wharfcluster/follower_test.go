package wharfcluster

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharfstream"
	"ragwortwharf.dev/wharfnode/internal/wharfview"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

// TestStaleNodeReadsInBoundedTime guards against a change that is in force late because the
// nodes that may read the log in place of the readers happen not to, again and again.
func TestStaleNodeReadsInBoundedTime(t *testing.T) {
	const (
		maxStateAge = 3 * time.Second
		readRate    = 4
	)
	for _, nodes := range []int{1, 3, 16} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bound := maxStateAge + time.Second*time.Duration(nodes)/readRate + roleInterval
				for seed := range uint64(500) {
					a := &Agent{View: wharfview.New(wharfmember.Member{Node: "n00", FailureDomain: "d"}), MaxStateAge: maxStateAge, ReadRate: readRate}
					for i := range nodes {
						a.View.Merge([]wharfmember.Member{{Node: fmt.Sprintf("n%02d", i), FailureDomain: "d"}})
					}
					started := time.Now()
					a.View.Confirm(0, started)
					applyRoutes(t, a.View, 1)
					f := &follower{agent: a, rng: rand.New(rand.NewPCG(seed, 1))}
					for !f.due() {
						time.Sleep(f.interval())
					}
					is.New(t).True(time.Since(started) <= bound)
				}
			})
		})
	}
}

// answeringLog responds to each read at once, as if the log had not changed.
type answeringLog struct {
	batch wharfstream.Batch
	reads int
}

func (l *answeringLog) Append(context.Context, string, []byte) (uint64, error) { return 0, nil }

func (l *answeringLog) Read(context.Context, string, uint64, int, time.Duration) (wharfstream.Batch, error) {
	l.reads++
	time.Sleep(time.Millisecond)
	return l.batch, nil
}

// TestReadsWithoutProgressPause guards against a reader that takes the processor and the calls
// of the log, because the log responds at once with nothing that it can apply.
func TestReadsWithoutProgressPause(t *testing.T) {
	tests := []struct {
		name  string
		batch wharfstream.Batch
	}{
		{"nothing", wharfstream.Batch{Oldest: 1, Next: 6}},
		{"an earlier record", wharfstream.Batch{Oldest: 1, Next: 4, Records: []wharfstream.Record{{Offset: 3}}}},
		{"a record after a gap", wharfstream.Batch{Oldest: 1, Next: 10, Records: []wharfstream.Record{{Offset: 9}}}},
		{"end far ahead", wharfstream.Batch{Oldest: 1, Next: math.MaxUint64}},
		{"nothing at all", wharfstream.Batch{}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const duration = 10 * time.Second
				is := is.New(t)
				client := &answeringLog{batch: tc.batch}
				a := &Agent{View: wharfview.New(wharfmember.Member{Node: "n00", FailureDomain: "d"}), LogClient: client, Readers: 1, PollWait: time.Second, Metrics: wharfevents.NewMetrics()}
				a.Prepare()
				close(a.joined)
				applyRoutes(t, a.View, 5)
				ctx, cancel := context.WithTimeout(t.Context(), duration)
				defer cancel()
				(&follower{agent: a, rng: rand.New(rand.NewPCG(1, 1))}).run(ctx)
				is.True(client.reads >= int(duration/time.Second))
				is.True(client.reads <= int(duration/retryInterval)+1)
				is.Equal(a.View.State().Offset(), uint64(5))
			})
		})
	}
}

// TestReadRateOfAnySize guards against a node that ends because its settings allow so many reads
// that no wait is left.
func TestReadRateOfAnySize(t *testing.T) {
	for _, rate := range []int{1, 1_000_000_000, 1 << 30, math.MaxInt} {
		is := is.New(t)
		a := &Agent{View: wharfview.New(wharfmember.Member{Node: "n00", FailureDomain: "d"}), ReadRate: rate}
		applyRoutes(t, a.View, 1)
		f := &follower{agent: a, rng: rand.New(rand.NewPCG(1, 1))}
		is.True(f.staleWait() >= 0)
		is.True(f.staleWait() <= time.Second)
	}
}
