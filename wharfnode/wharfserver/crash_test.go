package wharfserver

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharfnode/internal/wharftest"
)

// TestCrashingRequestIsQuarantined resends a request that crashes each target
// that runs it, to every node in turn.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	is := is.New(t)
	m := newMesh(t)
	var crashes atomic.Int32
	for range 4 {
		m.serve(m.start("domain-a"), "reads", func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/deadly" {
				crashes.Add(1)
				breakOff(w)
				return
			}
			hello(w, r)
		})
	}
	refused := 0
	for i := range 12 {
		got := m.nodes[i%4].send(request{service: "reads", path: "/deadly"})
		is.True(got.status != 200)
		if got.reason == "quarantined" {
			is.Equal(got.outcome, "not-run")
			refused++
		}
		is.Equal(m.nodes[i%4].send(request{service: "reads", path: "/harmless"}).status, 200)
	}
	is.True(crashes.Load() <= 2)
	is.True(refused >= 10)
}

// TestCrashingRequestSentToAllAtOnce sends a request that crashes its targets
// through all nodes of a failure domain at the same moment, and then again.
func TestCrashingRequestSentToAllAtOnce(t *testing.T) {
	is := is.New(t)
	m := newMesh(t)
	const nodes = 5
	var mu sync.Mutex
	crashed := map[int]bool{}
	release := make(chan struct{})
	for i := range nodes {
		m.serve(m.start("domain-a"), "reads", func(w http.ResponseWriter, _ *http.Request) {
			<-release
			mu.Lock()
			crashed[i] = true
			mu.Unlock()
			breakOff(w)
		})
	}
	calls := func() int {
		n := 0
		for _, node := range m.nodes {
			n += node.target.Calls()
		}
		return n
	}
	replies := make(chan reply, nodes)
	for _, n := range m.nodes {
		go func() { replies <- n.send(request{service: "reads", path: "/deadly"}) }()
	}
	wharftest.Eventually(t, "all are under way", func() bool { return calls() == nodes })
	close(release)
	for range nodes {
		is.True((<-replies).status != 200)
	}
	for i := range 3 * nodes {
		m.nodes[i%nodes].send(request{service: "reads", path: "/deadly"})
	}
	mu.Lock()
	defer mu.Unlock()
	is.True(len(crashed) <= 2)
}

// TestBystanderOfCrashIsServed lets a harmless request be in flight at a target
// while another one crashes it. It is then served again, through any node and
// also if there is no other target.
func TestBystanderOfCrashIsServed(t *testing.T) {
	for _, targets := range []int{1, 2, 5} {
		t.Run(fmt.Sprint(targets, " targets"), func(t *testing.T) {
			is := is.New(t)
			m := newMesh(t)
			var broken atomic.Bool
			inside := make(chan struct{})
			handler := func(w http.ResponseWriter, r *http.Request) {
				switch {
				case broken.Load():
					hello(w, r)
				case r.URL.Path == "/beside":
					close(inside)
					for !broken.Load() {
						time.Sleep(time.Millisecond)
					}
					breakOff(w)
				default:
					broken.Store(true)
					breakOff(w)
				}
			}
			first := m.start("domain-a")
			m.serve(first, "reads", handler)
			done := make(chan reply)
			go func() { done <- first.send(request{service: "reads", path: "/beside"}) }()
			<-inside
			first.send(request{service: "reads", path: "/deadly"})
			is.True((<-done).status != 200)
			for range targets - 1 {
				m.serve(m.start("domain-a"), "reads", hello)
			}
			for range 3 {
				for _, n := range m.nodes {
					got := n.send(request{service: "reads", path: "/beside"})
					is.Equal(got.reason, "")
					is.Equal(got.status, 200)
				}
			}
		})
	}
}

// breakOffLate ends the connection after a part of the answer.
func breakOffLate(w http.ResponseWriter) {
	w.Header().Set("Content-Length", "1000")
	_, _ = io.WriteString(w, "part")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// TestCrashInAnswerIsNotTriedElsewhere breaks off the first connection, before
// the answer or within it. A second attempt could cost a second target.
func TestCrashInAnswerIsNotTriedElsewhere(t *testing.T) {
	tests := []struct {
		name  string
		crash func(w http.ResponseWriter)
	}{
		{"before the answer", breakOff},
		{"within the answer", breakOffLate},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			m := newMesh(t)
			far := m.start("domain-b")
			var arrivals atomic.Int32
			for range 2 {
				m.serve(m.start("domain-a"), "reads", func(w http.ResponseWriter, r *http.Request) {
					if arrivals.Add(1) == 1 {
						tc.crash(w)
						return
					}
					hello(w, r)
				})
			}
			got := far.send(request{service: "reads"})
			is.Equal(arrivals.Load(), int32(1))
			is.Equal(got.outcome, "unknown")
			is.Equal(got.reason, "target-crashed")
		})
	}
}
