package wharfliveness

import (
	"context"
	"errors"
	"sync"
	"time"

	"ragwortwharf.dev/wharf/wharfrouting"
	"ragwortwharf.dev/wharf/wharfsocket"
	"ragwortwharf.dev/wharf/wharftimer"
)

const (
	// dialTimeout bounds one probe, which is the set-up of one connection. It
	// covers the round trip between regions.
	dialTimeout = 250 * time.Millisecond
	// probeAttempts is the number of failed probes after which the server is
	// unresponsive. A single failure may be a lost packet.
	probeAttempts = 2
	// probeInterval is the pause after a failed probe.
	probeInterval = 100 * time.Millisecond
	// probeWindow bounds how long the server is probed. After that, calls are
	// allowed again; if they get no response either, the next check probes the
	// server again.
	probeWindow = 30 * time.Second
)

// ErrUnresponsive is the cancellation cause of calls to an unresponsive server.
var ErrUnresponsive = errors.New("server is unresponsive")

// Monitor detects whether the server at one address is unresponsive from the calls
// to that address. Its fields are set before the first call. It is safe for
// concurrent use.
type Monitor struct {
	// Address is the host and port of the server. It is probed when calls get no
	// responses.
	Address string
	// OnChange is called when the server becomes unresponsive, and again when it
	// accepts connections. It may be nil.
	OnChange func(unresponsive bool)

	mu           sync.Mutex
	stall        wharfrouting.StallDetector
	unresponsive bool
	// armed is true while a timer for check is set or the server is being probed.
	armed bool
	// responses counts the responses of the server.
	responses uint64
	calls     map[*Call]struct{}
}

// Call is a monitored call in flight.
type Call struct {
	monitor *Monitor
	cancel  context.CancelCauseFunc
	started time.Time
	// timer cancels the call at its deadline.
	timer *time.Timer
}

// Unresponsive reports whether the server is known to be unresponsive.
func (m *Monitor) Unresponsive() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unresponsive
}

// Begin starts to monitor a call; the caller ends it with Call.End. The context
// that Begin returns is cancelled with the cause ErrUnresponsive if the server
// becomes unresponsive, and with the cause context.DeadlineExceeded at the deadline.
// It is one context for both, because each context costs several allocations.
func (m *Monitor) Begin(ctx context.Context, deadline time.Time) (context.Context, *Call) {
	ctx, cancel := context.WithCancelCause(ctx)
	c := &Call{monitor: m, cancel: cancel, started: time.Now()}
	c.timer = time.AfterFunc(deadline.Sub(c.started), c.expire)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.calls == nil {
		m.calls = make(map[*Call]struct{})
	}
	m.calls[c] = struct{}{}
	m.stall.RecordSend(c.started)
	m.arm(c.started)
	return ctx, c
}

// arm sets a timer that runs check when the stall timeout of the pending calls
// expires; the caller holds the lock. The stall timeout is the time without a response
// after which the server is probed; wharfrouting.StallDetector derives it from the mean
// latency. Responses don't stop the timer, so that they cost nothing.
func (m *Monitor) arm(now time.Time) {
	if deadline, pending := m.stall.Deadline(); pending && !m.armed {
		m.armed = true
		time.AfterFunc(deadline.Sub(now), m.check)
	}
}

// check probes the server if it has sent no response within the stall timeout.
func (m *Monitor) check() {
	m.mu.Lock()
	now, responsesBefore := time.Now(), m.responses
	deadline, pending := m.stall.Deadline()
	if !pending || now.Before(deadline) {
		m.armed = false
		m.arm(now)
		m.mu.Unlock()
		return
	}
	m.mu.Unlock()
	m.probe(responsesBefore)
}

// RecordResponse records that the server has responded to this call.
func (c *Call) RecordResponse() {
	c.monitor.mu.Lock()
	defer c.monitor.mu.Unlock()
	c.monitor.stall.RecordResponse(time.Since(c.started))
	c.monitor.responses++
}

func (c *Call) expire() {
	c.cancel(context.DeadlineExceeded)
}

// Cancel cancels the context of the call with a cause.
func (c *Call) Cancel(cause error) {
	c.cancel(cause)
}

// End stops monitoring the call and cancels its context.
func (c *Call) End() {
	c.timer.Stop()
	c.cancel(nil)
	c.monitor.mu.Lock()
	defer c.monitor.mu.Unlock()
	delete(c.monitor.calls, c)
}

// probe connects to the server until it accepts a connection or probeWindow is
// over. responsesBefore is the number of responses when the stall was detected.
func (m *Monitor) probe(responsesBefore uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), probeWindow)
	defer cancel()
	for failed := 0; ctx.Err() == nil; {
		if wharfsocket.CanConnect(ctx, m.Address, dialTimeout) {
			m.markRecovered(true)
			return
		}
		failed++
		if failed == probeAttempts && !m.markUnresponsive(responsesBefore) {
			break
		}
		wharftimer.Sleep(ctx, probeInterval)
	}
	m.markRecovered(false)
}

// markUnresponsive marks the server as unresponsive and cancels the calls in
// flight. It returns false and does nothing if a response has arrived since the
// stall was detected.
func (m *Monitor) markUnresponsive(responsesBefore uint64) bool {
	m.mu.Lock()
	if m.responses != responsesBefore {
		m.mu.Unlock()
		return false
	}
	m.unresponsive = true
	for c := range m.calls {
		c.cancel(ErrUnresponsive)
	}
	m.mu.Unlock()
	m.notifyChange(true)
	return true
}

// markRecovered allows calls again. reachable is true if the server has accepted
// a connection; otherwise only further calls can show whether it responds.
func (m *Monitor) markRecovered(reachable bool) {
	m.mu.Lock()
	wasUnresponsive := m.unresponsive
	m.unresponsive, m.armed = false, false
	m.stall.Reset()
	m.mu.Unlock()
	if wasUnresponsive && reachable {
		m.notifyChange(false)
	}
}

func (m *Monitor) notifyChange(unresponsive bool) {
	if m.OnChange != nil {
		m.OnChange(unresponsive)
	}
}
