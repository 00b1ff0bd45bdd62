package wharfliveness

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
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

// beginStalledCalls begins three calls that get no response. The last one begins
// after the stall timeout of the first.
func beginStalledCalls(t *testing.T, m *Monitor) []context.Context {
	t.Helper()
	var contexts []context.Context
	for range 3 {
		ctx, c := m.Begin(t.Context(), time.Now().Add(time.Minute), true)
		t.Cleanup(c.End)
		contexts = append(contexts, ctx)
		time.Sleep(150 * time.Millisecond)
	}
	return contexts
}

// TestUnresponsiveServerEndsCallsUntilItAcceptsConnections guards against calls
// that wait until their deadline for a server that refuses connections, and against
// a server that stays marked as unresponsive after it accepts connections again.
func TestUnresponsiveServerEndsCallsUntilItAcceptsConnections(t *testing.T) {
	is := is.New(t)
	l := listen(t, "127.0.0.1:0")
	address := l.Addr().String()
	is.NoErr(l.Close())
	m := &Monitor{Address: address}
	calls := beginStalledCalls(t, m)
	wharftest.Eventually(t, "the server is unresponsive", m.Unresponsive)
	for _, ctx := range calls {
		<-ctx.Done()
		is.True(errors.Is(context.Cause(ctx), ErrUnresponsive))
	}
	listen(t, address)
	wharftest.Eventually(t, "the server has recovered", func() bool { return !m.Unresponsive() })
	ctx, c := m.Begin(t.Context(), time.Now().Add(time.Minute), true)
	is.NoErr(ctx.Err())
	c.End()
	is.True(!errors.Is(context.Cause(ctx), ErrUnresponsive))
}

// TestSlowServerThatAcceptsConnectionsStaysResponsive guards against cancelled calls
// when the server sends no response within the stall timeout but accepts
// connections.
func TestSlowServerThatAcceptsConnectionsStaysResponsive(t *testing.T) {
	is := is.New(t)
	m := &Monitor{Address: listen(t, "127.0.0.1:0").Addr().String()}
	for _, ctx := range beginStalledCalls(t, m) {
		is.NoErr(ctx.Err())
	}
	is.True(!m.Unresponsive())
}

// TestResponseWhileConnectionsFailKeepsServerResponsive guards against cancelled
// calls when a response arrives on an open connection while probes fail.
func TestResponseWhileConnectionsFailKeepsServerResponsive(t *testing.T) {
	is := is.New(t)
	l := listen(t, "127.0.0.1:0")
	is.NoErr(l.Close())
	m := &Monitor{Address: l.Addr().String()}
	ctx, first := m.Begin(t.Context(), time.Now().Add(time.Minute), true)
	defer first.End()
	time.Sleep(300 * time.Millisecond)
	_, second := m.Begin(t.Context(), time.Now().Add(time.Minute), true)
	defer second.End()
	second.RecordResponse()
	time.Sleep(2 * probeInterval)
	is.NoErr(ctx.Err())
	is.True(!m.Unresponsive())
}

// TestSilentServerEndsRepeatableCalls guards against calls that wait until their deadline
// for a server that accepts connections and doesn't answer, and against calls that are given
// up although the server may still respond to them and they can't be sent again.
func TestSilentServerEndsRepeatableCalls(t *testing.T) {
	is := is.New(t)
	var alive atomic.Bool
	m := &Monitor{Probe: func(context.Context, string) Liveness {
		if alive.Load() {
			return Alive
		}
		return Silent
	}}
	repeatable, first := m.Begin(t.Context(), time.Now().Add(time.Minute), true)
	defer first.End()
	other, second := m.Begin(t.Context(), time.Now().Add(time.Minute), false)
	defer second.End()
	<-repeatable.Done()
	is.True(errors.Is(context.Cause(repeatable), ErrUnresponsive))
	is.True(m.Unresponsive())
	time.Sleep(2 * probeAttempts * probeInterval)
	is.NoErr(other.Err())
	alive.Store(true)
	wharftest.Eventually(t, "the server has recovered", func() bool { return !m.Unresponsive() })
	is.NoErr(other.Err())
}

// TestStopEndsProbing guards against a monitor that goes on probing a server after its node
// has stopped.
func TestStopEndsProbing(t *testing.T) {
	is := is.New(t)
	var probes atomic.Int32
	m := &Monitor{Probe: func(context.Context, string) Liveness {
		probes.Add(1)
		return Dead
	}}
	_, c := m.Begin(t.Context(), time.Now().Add(time.Minute), true)
	defer c.End()
	wharftest.Eventually(t, "the server is probed", func() bool { return probes.Load() > 0 })
	m.Stop()
	wharftest.Eventually(t, "the probing has ended", func() bool {
		before := probes.Load()
		time.Sleep(2 * probeInterval)
		return probes.Load() == before
	})
	is.True(probes.Load() < 10)
}
