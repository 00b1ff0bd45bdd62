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
	// probeAttempts is the number of failed probes after which the server is unresponsive.
	// A single failure may be a lost packet, so that it only keeps further calls from the
	// server.
	probeAttempts = 2
	// probeInterval is the pause after a failed probe.
	probeInterval = 100 * time.Millisecond
	// probeWindow bounds how long the server is probed. After that, calls are
	// allowed again; if they get no response either, the next check probes the
	// server again.
	probeWindow = 30 * time.Second
)

// Liveness is what a probe finds out about a server.
type Liveness uint8

// Results of a probe.
const (
	// Dead means that the server accepts no connection.
	Dead Liveness = iota
	// Silent means that the server accepts connections and doesn't answer. The kernel
	// accepts them also while the process is paused.
	Silent
	// Alive means that the server answers, or that only its connections are probed.
	Alive
)

// Probe returns whether the server at an address is alive. It takes at most a few hundred
// milliseconds.
type Probe func(ctx context.Context, address string) Liveness

// probeConnection probes a server by the set-up of a connection.
func probeConnection(ctx context.Context, address string) Liveness {
	if wharfsocket.CanConnect(ctx, address, dialTimeout) {
		return Alive
	}
	return Dead
}

// ErrUnresponsive is the cancellation cause of calls to an unresponsive server.
var ErrUnresponsive = errors.New("server is unresponsive")

// Monitor detects whether the server at one address is unresponsive from the calls
// to that address. Its fields are set before the first call. It is safe for
// concurrent use.
type Monitor struct {
	// Address is the host and port of the server. It is probed when calls get no
	// responses.
	Address string
	// Probe probes the server. By default it is probed by the set-up of a connection.
	Probe Probe
	// OnChange is called when the server becomes unresponsive, and again when it
	// is alive. It may be nil.
	OnChange func(unresponsive bool)
	// KeepsCalls reports whether the calls in flight go on when the server is unresponsive,
	// which then only keeps further calls from it. It may be nil.
	KeepsCalls func() bool

	mu           sync.Mutex
	stall        wharfrouting.StallDetector
	unresponsive bool
	// notified is true once OnChange was called for an unresponsive server.
	notified bool
	// armed is true while a timer for check is set or the server is being probed.
	armed bool
	// responses counts the responses of the server.
	responses uint64
	calls     map[*Call]struct{}
	// stopped is true after Stop, and stopProbe ends the probing of the server, if any.
	stopped   bool
	stopProbe context.CancelFunc
}

// Call is a monitored call in flight.
type Call struct {
	monitor *Monitor
	cancel  context.CancelCauseFunc
	started time.Time
	// repeatable is true if the call may be sent to another server, too.
	repeatable bool
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
// It is one context for both, because each context costs several allocations. A call that
// isn't repeatable goes on while the server accepts connections: the server may be paused,
// and respond later.
func (m *Monitor) Begin(ctx context.Context, deadline time.Time, repeatable bool) (context.Context, *Call) {
	ctx, cancel := context.WithCancelCause(ctx)
	c := &Call{monitor: m, cancel: cancel, started: time.Now(), repeatable: repeatable}
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

// RecordSend records that the call is sent to the server again.
func (c *Call) RecordSend() {
	now := time.Now()
	c.monitor.mu.Lock()
	defer c.monitor.mu.Unlock()
	c.started = now
	c.monitor.stall.RecordSend(now)
	c.monitor.arm(now)
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

// probe probes the server until it is alive or probeWindow is over. responsesBefore is the
// number of responses when the stall was detected.
func (m *Monitor) probe(responsesBefore uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), probeWindow)
	defer cancel()
	if !m.beginProbing(cancel) {
		return
	}
	probe := m.Probe
	if probe == nil {
		probe = probeConnection
	}
	for failed := 0; ctx.Err() == nil; {
		liveness := probe(ctx, m.Address)
		if liveness == Alive {
			m.markRecovered(true)
			return
		}
		failed++
		if failed == 1 {
			m.suspect(responsesBefore, liveness)
		}
		if failed == probeAttempts && !m.markUnresponsive(responsesBefore, liveness) {
			break
		}
		wharftimer.Sleep(ctx, probeInterval)
	}
	m.markRecovered(false)
}

// suspect keeps further calls from the server after a failed probe, unless a response has
// arrived since the stall was detected. The repeatable calls to a silent server are cancelled
// at once, so that those with a short deadline still have time for another server.
func (m *Monitor) suspect(responsesBefore uint64, liveness Liveness) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.responses != responsesBefore {
		return
	}
	m.unresponsive = true
	if liveness == Silent {
		m.cancelCalls(false)
	}
}

// cancelCalls cancels the calls in flight, either all or the repeatable ones. The caller
// holds the lock.
func (m *Monitor) cancelCalls(all bool) {
	if m.KeepsCalls != nil && m.KeepsCalls() {
		return
	}
	for c := range m.calls {
		if all || c.repeatable {
			c.cancel(ErrUnresponsive)
		}
	}
}

// CancelCalls cancels all calls in flight with a cause.
func (m *Monitor) CancelCalls(cause error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.calls {
		c.cancel(cause)
	}
}

// beginProbing records the function that ends the probing. It returns false after Stop.
func (m *Monitor) beginProbing(stop context.CancelFunc) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopProbe = stop
	return !m.stopped
}

// Stop ends the probing of the server for good.
func (m *Monitor) Stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	if m.stopProbe != nil {
		m.stopProbe()
	}
}

// markUnresponsive marks the server as unresponsive and cancels the calls in
// flight, of a silent server only the repeatable ones. It returns false and does nothing if a
// response has arrived since the stall was detected.
func (m *Monitor) markUnresponsive(responsesBefore uint64, liveness Liveness) bool {
	m.mu.Lock()
	if m.responses != responsesBefore {
		m.mu.Unlock()
		return false
	}
	m.unresponsive, m.notified = true, true
	m.cancelCalls(liveness == Dead)
	m.mu.Unlock()
	m.notifyChange(true)
	return true
}

// markRecovered allows calls again. reachable is true if the server is alive; otherwise
// only further calls can show whether it responds.
func (m *Monitor) markRecovered(reachable bool) {
	m.mu.Lock()
	wasNotified := m.notified
	m.unresponsive, m.notified, m.armed = false, false, false
	m.stall.Reset()
	m.mu.Unlock()
	if wasNotified && reachable {
		m.notifyChange(false)
	}
}

func (m *Monitor) notifyChange(unresponsive bool) {
	if m.OnChange != nil {
		m.OnChange(unresponsive)
	}
}
