package wharfprocess

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"ragwortwharf.dev/wharfnode/internal/wharftest"
)

// scene is a cluster with the VM that owns the key and one that doesn't.
type scene struct {
	*cluster
	owner, other *vm
	key          string
}

// fault is something that goes wrong, and comes right again.
type fault struct {
	name string
	// at is the part that breaks.
	at     string
	breaks func(s *scene)
	mend   func(s *scene)
}

var faults = []fault{
	{"owner node killed", "owner node", func(s *scene) { s.owner.node.kill() }, func(s *scene) { s.owner.node.start() }},
	{"owner node restarted", "owner node", func(s *scene) { s.owner.node.restart() }, func(*scene) {}},
	{"owner node frozen", "owner node", func(s *scene) { s.owner.node.signal(syscall.SIGSTOP) }, func(s *scene) { s.owner.node.signal(syscall.SIGCONT) }},
	{"sender node frozen", "sender node", func(s *scene) { s.other.node.signal(syscall.SIGSTOP) }, func(s *scene) { s.other.node.signal(syscall.SIGCONT) }},
	{"sender node killed", "sender node", func(s *scene) { s.other.node.kill() }, func(s *scene) { s.other.node.start() }},
	{"target killed", "target", func(s *scene) { s.owner.target.kill() }, func(s *scene) { s.owner.target.start() }},
	{"target frozen", "target", func(s *scene) { s.owner.target.signal(syscall.SIGSTOP) }, func(s *scene) { s.owner.target.signal(syscall.SIGCONT) }},
	{"owner node stopped as planned", "owner node", func(s *scene) { s.owner.node.signal(syscall.SIGTERM) }, func(s *scene) { <-s.owner.node.ended; s.owner.node.start() }},
	{"log down", "log", func(s *scene) { s.setLog(`{"down":true}`) }, func(s *scene) { s.setLog(`{}`) }},
	{"log down, owner node restarted", "log and owner node", func(s *scene) { s.setLog(`{"down":true}`); s.owner.node.restart() }, func(s *scene) { s.setLog(`{}`) }},
}

// step is a moment of a request at which a fault can come.
type step struct {
	name string
	run  func(t *testing.T, s *scene, f fault) []reply
}

var whileRunning = step{"while it runs", func(t *testing.T, s *scene, f fault) []reply {
	first := make(chan reply, 1)
	go func() { first <- s.other.book(s.key, 2*time.Second) }()
	wharftest.Eventually(t, "the request runs", func() bool { return s.owner.stats().Running > 0 })
	f.breaks(s)
	return []reply{<-first}
}}

var steps = []step{
	{"before the send", func(_ *testing.T, s *scene, f fault) []reply {
		f.breaks(s)
		return []reply{s.other.book(s.key, 2*time.Second)}
	}},
	whileRunning,
	{"after the answer", func(_ *testing.T, s *scene, f fault) []reply {
		first := s.other.book(s.key, 2*time.Second)
		f.breaks(s)
		return []reply{first}
	}},
}

// TestBookingTakesEffectOnce brings each fault at each step of a booking,
// resends it to both nodes during the fault and after it, and counts effects
// at the targets. A target that is killed forgets its counts, so effects are
// read before as well.
func TestBookingTakesEffectOnce(t *testing.T) {
	for _, f := range faults {
		for _, step := range steps {
			t.Run(f.name+"/"+step.name, func(t *testing.T) {
				t.Parallel()
				bookUnder(t, f, step)
			})
		}
	}
}

// TestBookingWithoutKeyTakesEffectOnce brings each fault while a booking runs
// whose key the node has minted. It is sent once; nothing on the way may send it
// again, and what the caller is told must be true.
func TestBookingWithoutKeyTakesEffectOnce(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			s := newScene(t)
			// The sender has no target of its own, so that the VM which runs the
			// request can fail without it.
			s.other = s.startVM("domain-c", "reads")
			s.settle()
			first := make(chan reply, 1)
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
			counted := s.effects()
			f.breaks(s)
			told := <-first
			f.mend(s)
			s.awaitEnd(t)
			s.check(t, f.name == "target killed", counted, []reply{told})
		})
	}
}

// TestBookingTakesEffectOnceUnderTwoFaults brings two faults of different parts
// while a booking runs.
func TestBookingTakesEffectOnceUnderTwoFaults(t *testing.T) {
	for i, f := range faults {
		for _, second := range faults[i+1:] {
			if strings.Contains(second.at, f.at) || strings.Contains(f.at, second.at) {
				continue
			}
			t.Run(f.name+" and "+second.name, func(t *testing.T) {
				t.Parallel()
				bookUnder(t, f.and(second), whileRunning)
			})
		}
	}
}

// and returns the fault that is both, one right after the other.
func (f fault) and(second fault) fault {
	return fault{
		name: f.name + " and " + second.name,
		at:   f.at + " and " + second.at,
		breaks: func(s *scene) {
			f.breaks(s)
			second.breaks(s)
		},
		mend: func(s *scene) {
			f.mend(s)
			second.mend(s)
		},
	}
}

// bookUnder makes a booking under a fault and checks what becomes of it.
func bookUnder(t *testing.T, f fault, st step) {
	t.Helper()
	s := newScene(t)
	var counted int
	observed := fault{breaks: func(s *scene) {
		counted = s.effects()
		f.breaks(s)
	}}
	replies := st.run(t, s, observed)
	for _, v := range []*vm{s.owner, s.other} {
		replies = append(replies, v.book(s.key, time.Second))
	}
	f.mend(s)
	for range 3 {
		for _, v := range []*vm{s.owner, s.other} {
			replies = append(replies, v.book(s.key, time.Second))
		}
	}
	s.awaitEnd(t)
	s.check(t, strings.Contains(f.name, "target killed"), counted, replies)
}

// awaitEnd waits until no target works any more.
func (s *scene) awaitEnd(t *testing.T) {
	t.Helper()
	wharftest.Eventually(t, "nothing runs any more", func() bool {
		running := 0
		for _, v := range s.vms {
			running += v.stats().Running
		}
		return running == 0
	})
}

func newScene(t *testing.T) *scene {
	t.Helper()
	c := newCluster(t)
	// A target that works on when its caller is lost makes every send count.
	owner := c.startVM("domain-a", "bookings", "--service-time", "300ms", "--ignore-cancellation")
	other := c.startVM("domain-b", "bookings", "--service-time", "300ms", "--ignore-cancellation")
	c.settle()
	return &scene{cluster: c, owner: owner, other: other, key: c.keyOf(owner)}
}

func (s *scene) effects() int {
	effects := 0
	for _, v := range s.vms {
		effects += v.stats().Effects[s.key]
	}
	return effects
}

// check compares what callers were told with what the targets did.
func (s *scene) check(t *testing.T, forgets bool, counted int, replies []reply) {
	t.Helper()
	effects := s.effects()
	if forgets {
		effects += counted
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
		t.Errorf("%d effects; replies %v", effects, replies)
	}
	if completed > 0 && effects == 0 && !forgets {
		t.Errorf("completed without effect; replies %v", replies)
	}
	if onlyNotRun && effects > 0 {
		t.Errorf("every caller was told that nothing ran; replies %v", replies)
	}
}
