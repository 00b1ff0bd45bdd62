package wharftarget

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharfadmission"
	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/wharfevents"
	"ragwortwharf.dev/wharfnode/wharfsettings"
)

// TestCallOfReassignedAddress guards against a call that a target of another service runs, because
// the address of its target was announced by that one after the call had arrived.
func TestCallOfReassignedAddress(t *testing.T) {
	const address = "127.0.0.1:1"
	announcement := func(service, instance string) wharfmember.Target {
		return wharfmember.Target{
			Service: service, Address: address, Slots: 1,
			Labels: map[string]string{wharfmember.LabelInstance: instance},
		}
	}
	tests := []struct {
		name string
		// waits is why the call waits when the target changes: empty if it was admitted.
		waits  string
		change func(g *Registry, now time.Time)
		// reason is that of the refusal, and instance that of a call that may run.
		reason   wharfoutcome.Reason
		instance string
	}{
		{"no change", "", func(*Registry, time.Time) {}, "", "a"},
		{"another service, call waits for a slot", "slot", func(g *Registry, now time.Time) { g.Announce(now, announcement("other", "b")) }, wharfoutcome.ReasonNoTarget, ""},
		{"another service, call waits for the rate limit", "rate", func(g *Registry, now time.Time) { g.Announce(now, announcement("other", "b")) }, wharfoutcome.ReasonNoTarget, ""},
		{"another service, call is admitted", "", func(g *Registry, now time.Time) { g.Announce(now, announcement("other", "b")) }, wharfoutcome.ReasonNoTarget, ""},
		{"target expires, call waits for the rate limit", "rate", func(g *Registry, _ time.Time) { g.Remove(address) }, wharfoutcome.ReasonNoTarget, ""},
		{"target expires, call is admitted", "", func(g *Registry, _ time.Time) { g.Remove(address) }, wharfoutcome.ReasonNoTarget, ""},
		{"target expires, another service", "", func(g *Registry, now time.Time) {
			g.Remove(address)
			g.Announce(now, announcement("other", "b"))
		}, wharfoutcome.ReasonNoTarget, ""},
		{"target leaves, call is admitted", "", func(g *Registry, _ time.Time) { g.Leave(address) }, wharfoutcome.ReasonLeaving, ""},
		{"next instance of the service", "", func(g *Registry, now time.Time) { g.Announce(now, announcement("book", "b")) }, "", "b"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			g := NewRegistry(wharfsettings.Variant{Limiter: "slots", QueueOrder: "fifo", MaxWait: time.Minute}, wharfevents.Log{})
			g.Announce(now, announcement("book", "a"))
			s := &Server{Registry: g}
			c := &call{
				id: 1, ctx: t.Context(), deadline: now.Add(2 * time.Second), target: g.serving("book", address),
				head: &wharfwire.CallHead{Service: "book", Target: address},
			}
			switch tc.waits {
			case "slot":
				c.target.gate.Offer(now, wharfadmission.Ticket{ID: 2, Arrived: now, Deadline: c.deadline})
			case "rate":
				c.target.gate.SetRate(now, 1)
			}
			admitted := make(chan wharfoutcome.Outcome, 1)
			go func() {
				o, run := c.target.admit(s, c, wharfadmission.ProcessorLoad{})
				if run {
					o.Reason = ""
				}
				admitted <- o
			}()
			var o wharfoutcome.Outcome
			if tc.waits == "" {
				o = <-admitted
				tc.change(g, now)
			} else {
				awaitWaiting(c.target)
				tc.change(g, now)
				o = <-admitted
			}
			reason := o.Reason
			if reason == "" {
				reason = c.target.beginDispatch(c)
			}
			is.Equal(reason, tc.reason)
			is.Equal(c.instance, tc.instance)
		})
	}
}

// awaitWaiting waits until a call waits for the target.
func awaitWaiting(t *target) {
	for {
		t.mu.Lock()
		waiting := len(t.waiters) > 0
		t.mu.Unlock()
		if waiting {
			return
		}
		time.Sleep(time.Millisecond)
	}
}
