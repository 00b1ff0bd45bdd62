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

// TestCrashingRequestIsQuarantined resends a request that crashes every target
// which runs it, to each node in turn. It guards against a crash of all
// targets: at most two crash, then the request is quarantined.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	var crashes atomic.Int32
	for range 4 {
		c.startTarget(c.startNode("domain-a"), "reads", func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/deadly" {
				crashes.Add(1)
				closeWithoutResponse(w)
				return
			}
			hello(w, r)
		})
	}
	refused := 0
	for i := range 12 {
		got := c.nodes[i%4].send(request{service: "reads", path: "/deadly"})
		is.True(got.status != 200)
		if got.reason == "quarantined" {
			is.Equal(got.outcome, "not-run")
			refused++
		}
		is.Equal(c.nodes[i%4].send(request{service: "reads", path: "/harmless"}).status, 200)
	}
	is.True(crashes.Load() <= 2)
	is.True(refused >= 10)
}

// TestConcurrentCrashingRequests sends a request that crashes its targets
// through all nodes of a failure domain at the same time, and then again. It
// guards against the crash of more than two targets before the nodes know of
// the first crash.
func TestConcurrentCrashingRequests(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	const nodes = 5
	var mu sync.Mutex
	crashed := map[int]bool{}
	release := make(chan struct{})
	for i := range nodes {
		c.startTarget(c.startNode("domain-a"), "reads", func(w http.ResponseWriter, _ *http.Request) {
			<-release
			mu.Lock()
			crashed[i] = true
			mu.Unlock()
			closeWithoutResponse(w)
		})
	}
	calls := func() int {
		n := 0
		for _, node := range c.nodes {
			n += node.target.CallsInFlight()
		}
		return n
	}
	replies := make(chan reply, nodes)
	for _, n := range c.nodes {
		go func() { replies <- n.send(request{service: "reads", path: "/deadly"}) }()
	}
	wharftest.Eventually(t, "all calls are in flight", func() bool { return calls() == nodes })
	close(release)
	for range nodes {
		is.True((<-replies).status != 200)
	}
	for i := range 3 * nodes {
		c.nodes[i%nodes].send(request{service: "reads", path: "/deadly"})
	}
	mu.Lock()
	defer mu.Unlock()
	is.True(len(crashed) <= 2)
}

// TestRequestInFlightDuringOtherCrashIsServed guards against the quarantine of a
// request that crashes no target, but was in flight at a target while another
// request crashed the target. Every node must serve the first request
// afterwards, even if there is only one target.
func TestRequestInFlightDuringOtherCrashIsServed(t *testing.T) {
	for _, targets := range []int{1, 2, 5} {
		t.Run(fmt.Sprint(targets, " targets"), func(t *testing.T) {
			is := is.New(t)
			c := newTestCluster(t)
			var crashed atomic.Bool
			arrived := make(chan struct{})
			handler := func(w http.ResponseWriter, r *http.Request) {
				switch {
				case crashed.Load():
					hello(w, r)
				case r.URL.Path == "/beside":
					close(arrived)
					for !crashed.Load() {
						time.Sleep(time.Millisecond)
					}
					closeWithoutResponse(w)
				default:
					crashed.Store(true)
					closeWithoutResponse(w)
				}
			}
			first := c.startNode("domain-a")
			c.startTarget(first, "reads", handler)
			done := make(chan reply)
			go func() { done <- first.send(request{service: "reads", path: "/beside"}) }()
			<-arrived
			first.send(request{service: "reads", path: "/deadly"})
			is.True((<-done).status != 200)
			for range targets - 1 {
				c.startTarget(c.startNode("domain-a"), "reads", hello)
			}
			for range 3 {
				for _, n := range c.nodes {
					got := n.send(request{service: "reads", path: "/beside"})
					is.Equal(got.reason, "")
					is.Equal(got.status, 200)
				}
			}
		})
	}
}

// truncateResponse closes the connection after a part of the response.
func truncateResponse(w http.ResponseWriter) {
	w.Header().Set("Content-Length", "1000")
	_, _ = io.WriteString(w, "part")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// TestCrashDuringResponseIsNotRetried closes the connection of the first
// attempt, before or during the response. A retry could crash a second target.
func TestCrashDuringResponseIsNotRetried(t *testing.T) {
	tests := []struct {
		name  string
		crash func(w http.ResponseWriter)
	}{
		{"before the response", closeWithoutResponse},
		{"during the response", truncateResponse},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := newTestCluster(t)
			sender := c.startNode("domain-b")
			var arrivals atomic.Int32
			for range 2 {
				c.startTarget(c.startNode("domain-a"), "reads", func(w http.ResponseWriter, r *http.Request) {
					if arrivals.Add(1) == 1 {
						tc.crash(w)
						return
					}
					hello(w, r)
				})
			}
			got := sender.send(request{service: "reads"})
			is.Equal(arrivals.Load(), int32(1))
			is.Equal(got.outcome, "unknown")
			is.Equal(got.reason, "target-crashed")
		})
	}
}
