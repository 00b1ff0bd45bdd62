package wharfprocess

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"ragwortwharf.dev/wharfnode/internal/wharftest"
)

// scenario is a cluster with the VM that owns the key and another VM, which
// sends the request.
type scenario struct {
	*cluster
	owner, other *vm
	key          string
}

// fault is an injected fault that can be repaired.
type fault struct {
	name string
	// component is the component that fails.
	component string
	inject    func(s *scenario)
	repair    func(s *scenario)
}

var faults = []fault{
	{"owner node killed", "owner node", func(s *scenario) { s.owner.node.kill() }, func(s *scenario) { s.owner.node.start() }},
	{"owner node restarted", "owner node", func(s *scenario) { s.owner.node.restart() }, func(*scenario) {}},
	{"owner node frozen", "owner node", func(s *scenario) { s.owner.node.signal(syscall.SIGSTOP) }, func(s *scenario) { s.owner.node.signal(syscall.SIGCONT) }},
	{"sender node frozen", "sender node", func(s *scenario) { s.other.node.signal(syscall.SIGSTOP) }, func(s *scenario) { s.other.node.signal(syscall.SIGCONT) }},
	{"sender node killed", "sender node", func(s *scenario) { s.other.node.kill() }, func(s *scenario) { s.other.node.start() }},
	{"target killed", "target", func(s *scenario) { s.owner.target.kill() }, func(s *scenario) { s.owner.target.start() }},
	{"target frozen", "target", func(s *scenario) { s.owner.target.signal(syscall.SIGSTOP) }, func(s *scenario) { s.owner.target.signal(syscall.SIGCONT) }},
	{"owner node stopped as planned", "owner node", func(s *scenario) { s.owner.node.signal(syscall.SIGTERM) }, func(s *scenario) { <-s.owner.node.ended; s.owner.node.start() }},
	{"log down", "log", func(s *scenario) { s.setLogFaults(`{"down":true}`) }, func(s *scenario) { s.setLogFaults(`{}`) }},
	{"log down, owner node restarted", "log and owner node", func(s *scenario) { s.setLogFaults(`{"down":true}`); s.owner.node.restart() }, func(s *scenario) { s.setLogFaults(`{}`) }},
}

// phase is a point in the course of a request at which a fault is injected. run
// sends the request, injects the fault, and returns the replies.
type phase struct {
	name string
	run  func(t *testing.T, s *scenario, f fault) []reply
}

var whileRunning = phase{"while it runs", func(t *testing.T, s *scenario, f fault) []reply {
	first := make(chan reply, 1)
	go func() { first <- s.other.book(s.key, 2*time.Second) }()
	wharftest.Eventually(t, "the request runs", func() bool { return s.owner.stats().Running > 0 })
	f.inject(s)
	return []reply{<-first}
}}

var phases = []phase{
	{"before the send", func(_ *testing.T, s *scenario, f fault) []reply {
		f.inject(s)
		return []reply{s.other.book(s.key, 2*time.Second)}
	}},
	whileRunning,
	{"after the response", func(_ *testing.T, s *scenario, f fault) []reply {
		first := s.other.book(s.key, 2*time.Second)
		f.inject(s)
		return []reply{first}
	}},
}

// TestBookingTakesEffectOnce guards against bookings that take effect twice,
// and against false outcomes. It injects each fault in each phase of a booking,
// resends the booking to both nodes during the fault and after it, and counts
// the effects at the targets. A target that is killed loses its counts, so the
// effects are also read before the fault.
func TestBookingTakesEffectOnce(t *testing.T) {
	for _, f := range faults {
		for _, p := range phases {
			t.Run(f.name+"/"+p.name, func(t *testing.T) {
				t.Parallel()
				checkBookingUnder(t, f, p)
			})
		}
	}
}

// TestBookingWithoutKeyTakesEffectOnce injects each fault while a booking runs
// for which the node generated the key. The caller sends the booking once. No
// node may send it again, and the outcome that the caller receives must be
// true.
func TestBookingWithoutKeyTakesEffectOnce(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			s := newScenario(t)
			// The sender has no target of this service, so that the VM that
			// runs the request can fail while the sender keeps running.
			s.other = s.startVM("domain-c", "reads")
			s.awaitConvergence()
			first := make(chan reply, 1)
			// The target counts a request without a key under its tag, so the
			// tag is the text under which effects looks up the count.
			go func() { first <- s.other.bookWithoutKey(s.key, 2*time.Second) }()
			wharftest.Eventually(t, "the request runs", func() bool {
				for _, v := range s.vms {
					if v.stats().Running > 0 {
						s.owner = v
						return true
					}
				}
				return false
			})
			effectsBefore := s.effects()
			f.inject(s)
			got := <-first
			f.repair(s)
			s.awaitIdle(t)
			s.check(t, f.name == "target killed", effectsBefore, []reply{got})
		})
	}
}

// TestBookingTakesEffectOnceUnderTwoFaults injects two faults of different
// components while a booking runs.
func TestBookingTakesEffectOnceUnderTwoFaults(t *testing.T) {
	for i, f := range faults {
		for _, second := range faults[i+1:] {
			if strings.Contains(second.component, f.component) || strings.Contains(f.component, second.component) {
				continue
			}
			t.Run(f.name+" and "+second.name, func(t *testing.T) {
				t.Parallel()
				checkBookingUnder(t, f.combine(second), whileRunning)
			})
		}
	}
}

// combine returns a fault that injects, and repairs, both faults one after the
// other.
func (f fault) combine(second fault) fault {
	return fault{
		name:      f.name + " and " + second.name,
		component: f.component + " and " + second.component,
		inject: func(s *scenario) {
			f.inject(s)
			second.inject(s)
		},
		repair: func(s *scenario) {
			f.repair(s)
			second.repair(s)
		},
	}
}

// checkBookingUnder sends a booking under a fault, resends it, and checks the
// replies and effects.
func checkBookingUnder(t *testing.T, f fault, p phase) {
	t.Helper()
	s := newScenario(t)
	var effectsBefore int
	recorded := fault{inject: func(s *scenario) {
		effectsBefore = s.effects()
		f.inject(s)
	}}
	replies := p.run(t, s, recorded)
	for _, v := range []*vm{s.owner, s.other} {
		replies = append(replies, v.book(s.key, time.Second))
	}
	f.repair(s)
	for range 3 {
		for _, v := range []*vm{s.owner, s.other} {
			replies = append(replies, v.book(s.key, time.Second))
		}
	}
	s.awaitIdle(t)
	s.check(t, strings.Contains(f.name, "target killed"), effectsBefore, replies)
}

// awaitIdle waits until no target runs a request.
func (s *scenario) awaitIdle(t *testing.T) {
	t.Helper()
	wharftest.Eventually(t, "no target runs a request", func() bool {
		running := 0
		for _, v := range s.vms {
			running += v.stats().Running
		}
		return running == 0
	})
}

func newScenario(t *testing.T) *scenario {
	t.Helper()
	c := newCluster(t)
	// The targets ignore cancellation, so that every request that reaches one
	// takes effect.
	owner := c.startVM("domain-a", "bookings", "--service-time", "300ms", "--ignore-cancellation")
	other := c.startVM("domain-b", "bookings", "--service-time", "300ms", "--ignore-cancellation")
	c.awaitConvergence()
	return &scenario{cluster: c, owner: owner, other: other, key: c.keyOwnedBy(owner)}
}

func (s *scenario) effects() int {
	effects := 0
	for _, v := range s.vms {
		effects += v.stats().Effects[s.key]
	}
	return effects
}

// check compares the replies that callers received with the effects at the
// targets. countsLost means that a target lost its counts, so effectsBefore is
// added to the current counts.
func (s *scenario) check(t *testing.T, countsLost bool, effectsBefore int, replies []reply) {
	t.Helper()
	effects := s.effects()
	if countsLost {
		effects += effectsBefore
	}
	completed := 0
	onlyNotRun := true
	for _, r := range replies {
		if r.status == 200 {
			completed++
		}
		if r.outcome != "not-run" {
			onlyNotRun = false
		}
	}
	if effects > 1 {
		t.Errorf("%d effects, want at most 1; replies %v", effects, replies)
	}
	if completed > 0 && effects == 0 && !countsLost {
		t.Errorf("a reply has status 200, but the request took no effect; replies %v", replies)
	}
	if onlyNotRun && effects > 0 {
		t.Errorf("outcome of every reply is not-run, but the request took effect; replies %v", replies)
	}
}
