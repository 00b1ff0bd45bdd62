package wharfpublish

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharf/wharflog"
	"ragwortwharf.dev/wharf/wharfstream"
)

// lateLog is a log in which an append takes effect some time after the client has given up
// waiting for its response.
type lateLog struct {
	wharflog.Memory
	timeout, delay time.Duration
	appends        int
}

func (l *lateLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	l.appends++
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	<-ctx.Done()
	time.AfterFunc(l.delay, func() { _, _ = l.Memory.Append(context.Background(), stream, data) })
	return 0, wharfstream.ErrUncertain
}

// TestLateAppendIsFound guards against a change that is reported as unknown, because its append takes
// effect just after the publisher has looked for it, and the next append takes the rest of the time.
func TestLateAppendIsFound(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l := &lateLog{timeout: 2 * time.Second, delay: delay}
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				p := Publisher{LogClient: l}
				s, err := p.State(ctx)
				is.NoErr(err)
				change := Change(s, "ann", "", 0, []wharfconfig.Document{{Kind: wharfconfig.KindClass, Name: "office", Rank: 2}})
				got := p.Publish(ctx, s, change)
				is.NoErr(got.Err)
				is.True(got.Known)
				is.Equal(l.appends, 1)
			})
		})
	}
}
