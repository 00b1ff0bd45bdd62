package wharfliveness

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharfnode/internal/wharftest"
)

// listen opens a listener that is closed at the end of the test.
func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// beginLate begins calls so late after one without an answer that it is a silence.
func beginLate(t *testing.T, w *Monitor) []context.Context {
	t.Helper()
	var all []context.Context
	for range 3 {
		ctx, c := w.Begin(t.Context())
		t.Cleanup(c.End)
		all = append(all, ctx)
		time.Sleep(150 * time.Millisecond)
	}
	return all
}

func TestSilenceEndsCallsUntilConnectionsAreTaken(t *testing.T) {
	is := is.New(t)
	l := listen(t, "127.0.0.1:0")
	address := l.Addr().String()
	is.NoErr(l.Close())
	w := &Monitor{Address: address}
	calls := beginLate(t, w)
	wharftest.Eventually(t, "the silence is known", w.Unresponsive)
	for _, ctx := range calls {
		<-ctx.Done()
		is.True(errors.Is(context.Cause(ctx), ErrUnresponsive))
	}
	listen(t, address)
	wharftest.Eventually(t, "the silence is over", func() bool { return !w.Unresponsive() })
	ctx, c := w.Begin(t.Context())
	is.NoErr(ctx.Err())
	c.End()
	is.True(!errors.Is(context.Cause(ctx), ErrUnresponsive))
}

func TestSlowSideThatTakesConnectionsIsNotSilent(t *testing.T) {
	is := is.New(t)
	w := &Monitor{Address: listen(t, "127.0.0.1:0").Addr().String()}
	for _, ctx := range beginLate(t, w) {
		is.NoErr(ctx.Err())
	}
	is.True(!w.Unresponsive())
}

func TestAnswerWhileConnectionsFailIsNoSilence(t *testing.T) {
	is := is.New(t)
	l := listen(t, "127.0.0.1:0")
	is.NoErr(l.Close())
	w := &Monitor{Address: l.Addr().String()}
	ctx, first := w.Begin(t.Context())
	defer first.End()
	time.Sleep(300 * time.Millisecond)
	_, second := w.Begin(t.Context())
	defer second.End()
	second.RecordResponse()
	time.Sleep(2 * probeInterval)
	is.NoErr(ctx.Err())
	is.True(!w.Unresponsive())
}
