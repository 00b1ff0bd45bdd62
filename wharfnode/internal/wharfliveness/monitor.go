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
	// dialTimeout bounds one try of a connection. It covers the round trip
	// between regions.
	dialTimeout = 250 * time.Millisecond
	// probeAttempts is how many tries have to fail. A single one may be a lost packet.
	probeAttempts = 2
	// probeInterval is the time between tries.
	probeInterval = 100 * time.Millisecond
	// probeWindow is how long a silent side is tried. After that calls go through
	// again, and show it anew.
	probeWindow = 30 * time.Second
)

// ErrUnresponsive is the cause that ends calls to a side that has fallen silent.
var ErrUnresponsive = errors.New("the other side has fallen silent")

// Monitor watches the calls to one address.
type Monitor struct {
	// Address is tried when answers stay away.
	Address string
	// OnChange is told when the side falls silent, and when it takes connections
	// again. It may be nil.
	OnChange func(silent bool)

	mu           sync.Mutex
	stall        wharfrouting.StallDetector
	unresponsive bool
	// armed says that check is to run, or that the side is being tried.
	armed bool
	// responses counts the answers.
	responses uint64
	calls     map[*Call]struct{}
}

// Call is a call under way.
type Call struct {
	monitor *Monitor
	cancel  context.CancelCauseFunc
	began   time.Time
}

// Unresponsive reports whether the side is known to be silent.
func (w *Monitor) Unresponsive() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.unresponsive
}

// Begin watches a call until its End. The context that it returns ends with the
// cause ErrUnresponsive if the side falls silent.
func (w *Monitor) Begin(ctx context.Context) (context.Context, *Call) {
	ctx, cancel := context.WithCancelCause(ctx)
	c := &Call{monitor: w, cancel: cancel, began: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.calls == nil {
		w.calls = make(map[*Call]struct{})
	}
	w.calls[c] = struct{}{}
	w.stall.RecordSend(c.began)
	w.arm(c.began)
	return ctx, c
}

// arm has the silence checked when it would last too long; the caller holds the
// lock. Answers don't disarm it, so that they cost nothing.
func (w *Monitor) arm(now time.Time) {
	if due, waits := w.stall.Deadline(); waits && !w.armed {
		w.armed = true
		time.AfterFunc(due.Sub(now), w.check)
	}
}

// check tries the side if its silence lasts.
func (w *Monitor) check() {
	w.mu.Lock()
	now, before := time.Now(), w.responses
	due, waits := w.stall.Deadline()
	if !waits || now.Before(due) {
		w.armed = false
		w.arm(now)
		w.mu.Unlock()
		return
	}
	w.mu.Unlock()
	w.probe(before)
}

// RecordResponse notes that the side has answered this call.
func (c *Call) RecordResponse() {
	c.monitor.mu.Lock()
	defer c.monitor.mu.Unlock()
	c.monitor.stall.RecordResponse(time.Since(c.began))
	c.monitor.responses++
}

// End ends the call.
func (c *Call) End() {
	c.cancel(nil)
	c.monitor.mu.Lock()
	defer c.monitor.mu.Unlock()
	delete(c.monitor.calls, c)
}

// probe tries the side until it takes a connection. It had answered so many times
// before.
func (w *Monitor) probe(before uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), probeWindow)
	defer cancel()
	for failed := 0; ctx.Err() == nil; {
		if wharfsocket.CanConnect(ctx, w.Address, dialTimeout) {
			w.markRecovered(true)
			return
		}
		failed++
		if failed == probeAttempts && !w.markUnresponsive(before) {
			break
		}
		wharftimer.Sleep(ctx, probeInterval)
	}
	w.markRecovered(false)
}

// markUnresponsive ends the calls under way. It is false if an answer came in the meantime.
func (w *Monitor) markUnresponsive(before uint64) bool {
	w.mu.Lock()
	if w.responses != before {
		w.mu.Unlock()
		return false
	}
	w.unresponsive = true
	for c := range w.calls {
		c.cancel(ErrUnresponsive)
	}
	w.mu.Unlock()
	w.notifyChange(true)
	return true
}

// markRecovered lets calls through again, because the side accepts them or only calls
// can tell.
func (w *Monitor) markRecovered(accepts bool) {
	w.mu.Lock()
	was := w.unresponsive
	w.unresponsive, w.armed = false, false
	w.stall.Reset()
	w.mu.Unlock()
	if was && accepts {
		w.notifyChange(false)
	}
}

func (w *Monitor) notifyChange(silent bool) {
	if w.OnChange != nil {
		w.OnChange(silent)
	}
}
