package wharfserver

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/internal/wharftest"
)

// TestFailedReadIsTriedElsewhere breaks off a read on one of two targets.
func TestFailedReadIsTriedElsewhere(t *testing.T) {
	is := is.New(t)
	m := newMesh(t)
	dead := httptest.NewServer(http.HandlerFunc(hello))
	address := strings.TrimPrefix(dead.URL, "http://")
	dead.Close()
	n := m.start("domain-a")
	m.announce(n, "reads", address)
	m.serve(m.start("domain-a"), "reads", hello)
	for range 10 {
		is.Equal(n.send(request{service: "reads"}).status, 200)
	}
}

// TestRefusalAfterLostAnswerIsUnknown cuts off the node of one target that does
// its work, and lets the other target refuse the second attempt. What the
// first one did can't be called not run.
func TestRefusalAfterLostAnswerIsUnknown(t *testing.T) {
	is := is.New(t)
	m := newMesh(t)
	far := m.start("domain-b")
	var arrivals atomic.Int32
	for range 2 {
		n := m.start("domain-a")
		m.serve(n, "reads", func(w http.ResponseWriter, _ *http.Request) {
			if arrivals.Add(1) == 1 {
				n.link.setCut(true)
				return
			}
			w.Header().Set(wharfwire.HeaderOutcome, "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
	}
	got := far.send(request{service: "reads"})
	is.Equal(arrivals.Load(), int32(2))
	is.Equal(got.outcome, "unknown")
}

// TestAttemptsStayBoundedOverChain lets the last of three services refuse
// everything, while each hop retries what it may.
func TestAttemptsStayBoundedOverChain(t *testing.T) {
	is := is.New(t)
	m := newMesh(t)
	const attempts = 10
	limit := attempts
	m.log.publish(t, "c", wharfconfig.Document{Kind: wharfconfig.KindDefaults, Name: wharfconfig.DefaultsName, Attempts: &limit})
	var arrivals atomic.Int32
	chain := []string{"front", "middle", "deep"}
	for range 2 {
		for i, service := range chain {
			n := m.start("domain-a")
			m.serve(n, service, func(w http.ResponseWriter, r *http.Request) {
				arrivals.Add(1)
				if i+1 == len(chain) {
					w.Header().Set(wharfwire.HeaderOutcome, "not-run")
					w.Header().Set(wharfwire.HeaderReason, "leaving")
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				// An impatient service calls on several times by itself.
				for range 20 {
					below := n.send(request{service: chain[i+1], headers: [][2]string{
						{wharfwire.HeaderContext, r.Header.Get(wharfwire.HeaderContext)},
					}})
					if below.status == 200 {
						return
					}
				}
				w.WriteHeader(http.StatusBadGateway)
			})
		}
	}
	wharftest.Eventually(t, "the configuration is in force", func() bool { return m.nodes[0].view.Config().Offset() > 0 })
	got := m.nodes[0].send(request{service: "front"})
	is.True(got.status != 200)
	is.True(arrivals.Load() > 2)
	is.True(arrivals.Load() <= attempts)
}

// TestLeavingTargetGetsNoNewWork tells a target to leave in each of the ways,
// while a request is in flight there.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	leave := true
	tests := []struct {
		name string
		tell func(t *testing.T, m *mesh, n *testNode, address string)
	}{
		{"its own word", func(t *testing.T, _ *mesh, n *testNode, address string) {
			r, _ := http.NewRequest(http.MethodDelete, n.admin+"/wharf/v1/targets?address="+address, http.NoBody)
			response, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
		}},
		{"label and selector", func(t *testing.T, m *mesh, _ *testNode, address string) {
			m.log.publish(t, "leave",
				wharfconfig.Document{Kind: wharfconfig.KindTargetRule, Name: "out", Selector: "state=out", Leaving: &leave},
				wharfconfig.Document{Kind: wharfconfig.KindTargetLabel, Name: address, Target: address, Labels: map[string]string{"state": "out"}})
		}},
		{"planned stop of its node", func(_ *testing.T, _ *mesh, n *testNode, _ string) { n.stop() }},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			m := newMesh(t)
			stays, leaves := m.start("domain-a"), m.start("domain-a")
			entered, release := make(chan struct{}), make(chan struct{})
			var late atomic.Int32
			var told atomic.Bool
			server := m.serve(leaves, "reads", func(w http.ResponseWriter, _ *http.Request) {
				if told.Load() {
					late.Add(1)
				}
				select {
				case entered <- struct{}{}:
				default:
				}
				<-release
				_, _ = io.WriteString(w, "from the leaving one")
			})
			done := make(chan reply)
			go func() { done <- stays.send(request{service: "reads"}) }()
			<-entered
			m.serve(stays, "reads", hello)
			address := strings.TrimPrefix(server.URL, "http://")
			tc.tell(t, m, leaves, address)
			wharftest.Eventually(t, "the others know", func() bool {
				for _, target := range stays.view.Targets("reads") {
					if target.Address == address {
						return target.Leaving
					}
				}
				return true
			})
			told.Store(true)
			for range 20 {
				is.Equal(stays.send(request{service: "reads"}).body, "hello")
			}
			is.Equal(late.Load(), int32(0))
			close(release)
			is.Equal((<-done).body, "from the leaving one") // nothing in flight was cut
		})
	}
}

func TestPlannedStopCutsNoCall(t *testing.T) {
	is := is.New(t)
	m := newMesh(t)
	first, second := m.start("domain-a"), m.start("domain-a")
	m.serve(second, "reads", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(200 * time.Millisecond)
		hello(w, r)
	})
	const calls = 4 // as many as a cold target runs
	replies := make(chan reply, calls)
	for range calls {
		go func() { replies <- first.send(request{service: "reads"}) }()
	}
	wharftest.Eventually(t, "calls are under way", func() bool { return first.entry.Calls() == calls })
	first.stop() // the node that the callers are connected to
	for range calls {
		is.Equal((<-replies).body, "hello")
	}
	<-first.ended
}

func TestConfigurationReachesEachDomain(t *testing.T) {
	class := func(name string, rank int) wharfconfig.Document {
		return wharfconfig.Document{Kind: wharfconfig.KindClass, Name: name, Rank: rank}
	}
	tests := []struct {
		name    string
		trouble func(m *mesh)
		heal    func(m *mesh)
	}{
		{"no trouble", func(*mesh) {}, func(*mesh) {}},
		{"log down before and after", func(m *mesh) { m.log.down.Store(true) }, func(m *mesh) { m.log.down.Store(false) }},
		{"log slow", func(m *mesh) { m.log.slow.Store(700) }, func(*mesh) {}},
		{"a reader stops", func(m *mesh) {
			m.nodes[0].stop()
			<-m.nodes[0].ended
			m.nodes = m.nodes[1:]
		}, func(*mesh) {}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			m := newMesh(t)
			for _, domain := range []string{"domain-a", "domain-a", "domain-a", "domain-b", "domain-b", "domain-b"} {
				m.start(domain)
			}
			m.log.publish(t, "first", class("one", 1))
			wharftest.Eventually(t, "the first change is in force everywhere", func() bool { return everywhere(m, "one", 1) })
			tc.trouble(m)
			m.log.publish(t, "second", class("two", 2))
			tc.heal(m)
			wharftest.Eventually(t, "the second change is in force everywhere", func() bool { return everywhere(m, "two", 2) })
		})
	}
}

func everywhere(m *mesh, class string, rank int) bool {
	for _, n := range m.nodes {
		if n.view.Config().Class(class).Rank != rank {
			return false
		}
	}
	return true
}

// TestNodeStartsWithLogDown starts a node that can learn everything from its
// neighbours only, and serves through it.
func TestNodeStartsWithLogDown(t *testing.T) {
	is := is.New(t)
	m := newMesh(t)
	m.serve(m.start("domain-a"), "reads", hello)
	m.log.publish(t, "first", wharfconfig.Document{Kind: wharfconfig.KindClass, Name: "one", Rank: 1})
	wharftest.Eventually(t, "the change is in force", func() bool { return everywhere(m, "one", 1) })
	m.log.down.Store(true)
	late := m.start("domain-b")
	wharftest.Eventually(t, "the late node has the state", func() bool { return everywhere(m, "one", 1) })
	wharftest.Eventually(t, "the late node serves", func() bool { return late.send(request{service: "reads"}).status == 200 })
	is.Equal(late.view.State().Offset(), m.nodes[0].view.State().Offset())
}

// TestSnapshotOutlivesRetention lets all records but a snapshot expire, and
// starts a node that knows no other.
func TestSnapshotOutlivesRetention(t *testing.T) {
	is := is.New(t)
	m := newMesh(t)
	m.snapshotInterval = time.Second
	n := m.start("domain-a")
	m.log.publish(t, "first", wharfconfig.Document{Kind: wharfconfig.KindClass, Name: "one", Rank: 1})
	wharftest.Eventually(t, "a snapshot is in the log", func() bool { return n.view.State().SnapshotOffset() > 0 })
	n.stop()
	<-n.ended
	m.nodes = nil
	m.log.expireBefore(n.view.State().SnapshotOffset())
	fresh := m.start("domain-a")
	wharftest.Eventually(t, "the state is there", func() bool { return everywhere(m, "one", 1) })
	is.True(fresh.view.State().Offset() >= 1)
}

// TestLostAnswerOfAppend loses the answers to announcements of ownership.
func TestLostAnswerOfAppend(t *testing.T) {
	is := is.New(t)
	m := newMesh(t)
	m.log.lose.Store(1)
	n := m.start("domain-a")
	var e effects
	m.serve(n, "bookings", e.book)
	is.Equal(n.send(request{method: "POST", service: "bookings", key: "k"}).status, 200)
	is.Equal(len(n.view.State().Ownership().Owners("bookings")), 1)
}

// TestOverloadShedsTheLeastImportant fills a target with work of a low class
// and sends work of a high one.
func TestOverloadShedsTheLeastImportant(t *testing.T) {
	is := is.New(t)
	m := newMesh(t)
	m.log.publish(t, "classes",
		wharfconfig.Document{Kind: wharfconfig.KindClass, Name: "high", Rank: 0},
		wharfconfig.Document{Kind: wharfconfig.KindClass, Name: "low", Rank: 9},
		wharfconfig.Document{Kind: wharfconfig.KindService, Name: "work"},
		wharfconfig.Document{Kind: wharfconfig.KindRule, Name: "high", Selector: "service=work,method=GET", Class: "high"},
		wharfconfig.Document{Kind: wharfconfig.KindRule, Name: "low", Selector: "service=work,method=HEAD", Class: "low"})
	n := m.start("domain-a")
	release := make(chan struct{})
	m.serve(n, "work", func(w http.ResponseWriter, r *http.Request) {
		<-release
		hello(w, r)
	})
	wharftest.Eventually(t, "the classes are in force", func() bool { return len(n.view.Config().Classes()) == 2 })
	const lows, highs = 60, 5
	low, high := make(chan reply, lows), make(chan reply, highs)
	for i := range lows {
		go func() { low <- n.send(request{method: "HEAD", service: "work", path: fmt.Sprint(i)}) }()
	}
	wharftest.Eventually(t, "some low work is refused", func() bool { return len(low) > 0 })
	for i := range highs {
		go func() { high <- n.send(request{service: "work", path: fmt.Sprint(i)}) }()
	}
	wharftest.Eventually(t, "high work waits", func() bool { return n.entry.Calls() >= highs })
	close(release)
	for range highs {
		is.Equal((<-high).status, 200)
	}
	refused := 0
	for range lows {
		if got := <-low; got.status == 503 {
			is.Equal(got.outcome, "not-run")
			refused++
		}
	}
	is.True(refused > 0)
}
