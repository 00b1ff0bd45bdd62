package wharfsilence

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
	// dialTries is how many tries have to fail. A single one may be a lost packet.
	dialTries = 2
	// tryPause is the time between tries.
	tryPause = 100 * time.Millisecond
	// tryTime is how long a silent side is tried. After that calls go through
	// again, and show it anew.
	tryTime = 30 * time.Second
)

// ErrSilent is the cause that ends calls to a side that has fallen silent.
var ErrSilent = errors.New("the other side has fallen silent")

// Watch watches the calls to one address.
type Watch struct {
	// Address is tried when answers stay away.
	Address string
	// Changed is told when the side falls silent, and when it takes connections
	// again. It may be nil.
	Changed func(silent bool)

	mu      sync.Mutex
	silence wharfrouting.Silence
	silent  bool
	// armed says that check is to run, or that the side is being tried.
	armed bool
	// heard counts the answers.
	heard uint64
	calls map[*Call]struct{}
}

// Call is a call under way.
type Call struct {
	watch  *Watch
	cancel context.CancelCauseFunc
	began  time.Time
}

// Silent reports whether the side is known to be silent.
func (w *Watch) Silent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.silent
}

// Begin watches a call until its End. The context that it returns ends with the
// cause ErrSilent if the side falls silent.
func (w *Watch) Begin(ctx context.Context) (context.Context, *Call) {
	ctx, cancel := context.WithCancelCause(ctx)
	c := &Call{watch: w, cancel: cancel, began: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.calls == nil {
		w.calls = make(map[*Call]struct{})
	}
	w.calls[c] = struct{}{}
	w.silence.Sent(c.began)
	w.arm(c.began)
	return ctx, c
}

// arm has the silence checked when it would last too long; the caller holds the
// lock. Answers don't disarm it, so that they cost nothing.
func (w *Watch) arm(now time.Time) {
	if due, waits := w.silence.Due(); waits && !w.armed {
		w.armed = true
		time.AfterFunc(due.Sub(now), w.check)
	}
}

// check tries the side if its silence lasts.
func (w *Watch) check() {
	w.mu.Lock()
	now, before := time.Now(), w.heard
	due, waits := w.silence.Due()
	if !waits || now.Before(due) {
		w.armed = false
		w.arm(now)
		w.mu.Unlock()
		return
	}
	w.mu.Unlock()
	w.run(before)
}

// Heard notes that the side has answered this call.
func (c *Call) Heard() {
	c.watch.mu.Lock()
	defer c.watch.mu.Unlock()
	c.watch.silence.Heard(time.Since(c.began))
	c.watch.heard++
}

// End ends the call.
func (c *Call) End() {
	c.cancel(nil)
	c.watch.mu.Lock()
	defer c.watch.mu.Unlock()
	delete(c.watch.calls, c)
}

// run tries the side until it takes a connection. It had answered so many times
// before.
func (w *Watch) run(before uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), tryTime)
	defer cancel()
	for failed := 0; ctx.Err() == nil; {
		if wharfsocket.Accepts(ctx, w.Address, dialTimeout) {
			w.settle(true)
			return
		}
		failed++
		if failed == dialTries && !w.fall(before) {
			break
		}
		wharftimer.Sleep(ctx, tryPause)
	}
	w.settle(false)
}

// fall ends the calls under way. It is false if an answer came in the meantime.
func (w *Watch) fall(before uint64) bool {
	w.mu.Lock()
	if w.heard != before {
		w.mu.Unlock()
		return false
	}
	w.silent = true
	for c := range w.calls {
		c.cancel(ErrSilent)
	}
	w.mu.Unlock()
	w.tell(true)
	return true
}

// settle lets calls through again, because the side accepts them or only calls
// can tell.
func (w *Watch) settle(accepts bool) {
	w.mu.Lock()
	was := w.silent
	w.silent, w.armed = false, false
	w.silence.Forget()
	w.mu.Unlock()
	if was && accepts {
		w.tell(false)
	}
}

func (w *Watch) tell(silent bool) {
	if w.Changed != nil {
		w.Changed(silent)
	}
}
