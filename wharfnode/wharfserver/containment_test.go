package wharfserver

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharfquarantine"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/internal/wharftarget"
	"ragwortwharf.dev/wharfnode/internal/wharftest"
)

// deadlyTarget is a target that crashes when it runs a request to /deadly. A crash closes
// the connections of all requests to /beside that it is running.
type deadlyTarget struct {
	mu      sync.Mutex
	crashed chan struct{}
	crashes atomic.Int32
	running atomic.Int32
}

// dead returns the channel that the next crash or endBeside closes.
func (d *deadlyTarget) dead() chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashed == nil {
		d.crashed = make(chan struct{})
	}
	return d.crashed
}

func (d *deadlyTarget) crash() {
	d.crashes.Add(1)
	d.endBeside()
}

// endBeside closes the connections of the requests to /beside.
func (d *deadlyTarget) endBeside() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashed != nil {
		close(d.crashed)
		d.crashed = nil
	}
}

func (d *deadlyTarget) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/deadly":
		d.crash()
		closeWithoutResponse(w)
	case "/beside":
		dead := d.dead()
		d.running.Add(1)
		defer d.running.Add(-1)
		select {
		case <-dead:
		case <-r.Context().Done():
		}
		closeWithoutResponse(w)
	default:
		hello(w, r)
	}
}

// TestCrashIsKnownInOtherFailureDomains guards against a request that crashes a target in
// each failure domain, one after the other, and again after they are back, because one
// domain doesn't learn in time what another one has seen. Other requests are in flight at
// each crash, and are suspected as well.
func TestCrashIsKnownInOtherFailureDomains(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	var targets [3]deadlyTarget
	for i := range targets {
		c.startTarget(c.startNode(fmt.Sprint("domain-", i)), "reads", targets[i].serve)
	}
	crashes := func() int32 {
		n := int32(0)
		for i := range targets {
			n += targets[i].crashes.Load()
		}
		return n
	}
	running := func() int32 {
		n := int32(0)
		for i := range targets {
			n += targets[i].running.Load()
		}
		return n
	}
	for i := range 12 {
		for k := range 6 {
			go c.nodes[k%3].send(request{service: "reads", path: fmt.Sprintf("/beside?%d-%d", i, k)})
		}
		wharftest.Eventually(t, "other requests run", func() bool { return running() >= 3 })
		c.nodes[i%3].send(request{service: "reads", path: "/deadly"})
		for k := range targets {
			targets[k].endBeside()
		}
	}
	is.True(crashes() <= 2)
}

// sendDeadly sends the crashing request to a node until it is quarantined, at most n
// times. It reports whether it was quarantined.
func sendDeadly(node *testNode, n int) bool {
	for range n {
		if node.send(request{service: "reads", path: "/deadly"}).reason == "quarantined" {
			return true
		}
	}
	return false
}

// TestErrorResponseLeavesRequestSuspected guards against a suspicion that is cleared by
// an error response of the target, for example when the run ended at its deadline before
// the point at which it crashes the target.
func TestErrorResponseLeavesRequestSuspected(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	var runs atomic.Int32
	c.startTarget(c.startNode("domain-a"), "reads", func(w http.ResponseWriter, _ *http.Request) {
		if runs.Add(1)%2 == 0 {
			w.WriteHeader(http.StatusGatewayTimeout)
			return
		}
		closeWithoutResponse(w)
	})
	is.True(sendDeadly(c.nodes[0], 4))
	is.Equal(runs.Load(), int32(3)) // a crash, an error response, and the second crash
}

// TestCrashAfterNewRegistrationCounts guards against a crash that is taken for an earlier
// one, because the target was registered anew in between.
func TestCrashAfterNewRegistrationCounts(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	var d deadlyTarget
	n := c.startNode("domain-a")
	server := c.startTarget(n, "reads", d.serve)
	address := server.Listener.Addr().String()
	for range 2 {
		n.send(request{service: "reads", path: "/deadly"})
		wharftest.Eventually(t, "registration ended", func() bool { return n.registry.Remove(address) })
		c.announce(n, "reads", address)
	}
	is.Equal(n.send(request{service: "reads", path: "/deadly"}).reason, "quarantined")
	is.Equal(d.crashes.Load(), int32(2))
}

// TestAbandonedRequestIsSuspected guards against a crashing request that is never
// suspected, because its sender gave up before the target crashed.
func TestAbandonedRequestIsSuspected(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	var d deadlyTarget
	n := c.startNode("domain-a")
	arrived := make(chan struct{}, 1)
	c.startTarget(n, "reads", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/deadly" {
			d.serve(w, r)
			return
		}
		arrived <- struct{}{}
		<-r.Context().Done()
		// The run goes on after the connection was closed.
		for range 100 {
			if n.registry.Status()[0].Running <= 1 {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		d.crash()
	})
	for i := range 2 {
		done := make(chan reply)
		go func() { done <- n.send(request{service: "reads", path: fmt.Sprint("/beside?", i)}) }()
		wharftest.Eventually(t, "other request runs", func() bool { return d.running.Load() == 1 })
		n.sendAbandoned(t, arrived)
		is.Equal((<-done).reason, "target-crashed")
	}
	is.Equal(n.send(request{service: "reads", path: "/deadly"}).reason, "quarantined")
}

// sendAbandoned sends the crashing request and disconnects once it has arrived.
func (n *testNode) sendAbandoned(t *testing.T, arrived <-chan struct{}) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, n.caller+"/deadly", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(wharfwire.HeaderService, "reads")
	go func() {
		<-arrived
		cancel()
	}()
	if response, err := http.DefaultClient.Do(r); err == nil {
		_ = response.Body.Close()
		t.Fatal("the request got a response")
	}
}

// TestQueuedRequestIsRefusedOnceQuarantined guards against the dispatch of a request that
// was quarantined while it waited for a slot of its target.
func TestQueuedRequestIsRefusedOnceQuarantined(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	var d deadlyTarget
	n := c.startNode("domain-a")
	c.startTarget(n, "reads", d.serve)
	n.send(request{service: "reads", path: "/deadly"})
	entries := n.agent.Quarantine.Entries(time.Now())
	is.Equal(len(entries), 1)
	status := func() wharftarget.Status { return n.registry.Status()[0] }
	limit := status().Limit
	for i := range limit {
		go n.send(request{service: "reads", path: fmt.Sprint("/beside?", i)})
	}
	wharftest.Eventually(t, "other requests take all slots", func() bool { return status().Running == limit })
	done := make(chan reply)
	go func() { done <- n.send(request{service: "reads", path: "/deadly"}) }()
	wharftest.Eventually(t, "crashing request waits", func() bool { return status().Queued == 1 })
	n.agent.Quarantine.Merge(time.Now(), wharfquarantine.Entry{
		Fingerprint: entries[0].Fingerprint, Quarantined: true, Expires: time.Now().Add(time.Hour),
	})
	var got reply
	wharftest.Eventually(t, "crashing request ends", func() bool {
		d.endBeside()
		select {
		case got = <-done:
			return true
		default:
			return false
		}
	})
	is.Equal(got.reason, "quarantined")
	is.Equal(d.crashes.Load(), int32(1))
}

// TestPopularRequestIsServedAfterTwoCrashes guards against a harmless request that all nodes
// refuse because it was in flight at two targets that crashed together, while it completed at a
// third one.
func TestPopularRequestIsServedAfterTwoCrashes(t *testing.T) {
	c := newTestCluster(t)
	var targets [3]deadlyTarget
	var complete [3]chan struct{}
	for i := range targets {
		complete[i] = make(chan struct{})
		n := c.startNode(fmt.Sprint("domain-", i))
		c.startTarget(n, "boards", func(w http.ResponseWriter, _ *http.Request) {
			dead := targets[i].dead()
			targets[i].running.Add(1)
			defer targets[i].running.Add(-1)
			select {
			case <-dead:
				closeWithoutResponse(w)
			case <-complete[i]:
				hello(w, nil)
			}
		})
	}
	popular := request{service: "boards", path: "/beside"}
	running := func() bool {
		for i := range targets {
			if targets[i].running.Load() == 0 {
				return false
			}
		}
		return true
	}
	var group sync.WaitGroup
	for range 4 {
		for _, n := range c.nodes {
			group.Go(func() { n.send(popular) })
		}
	}
	wharftest.Eventually(t, "the request runs at all targets", running)
	targets[0].endBeside()
	targets[1].endBeside()
	wharftest.Eventually(t, "the request is quarantined", func() bool {
		_, quarantined := c.nodes[2].agent.Quarantine.Quarantined(time.Now(), fingerprintOnly(c.nodes[2]))
		return quarantined
	})
	for i := range complete {
		close(complete[i])
	}
	group.Wait()
	for _, n := range c.nodes {
		wharftest.Eventually(t, "the request is served again", func() bool { return n.send(popular).status == http.StatusOK })
	}
}

// fingerprintOnly returns the fingerprint of the only request in the list of a node, or zero.
func fingerprintOnly(n *testNode) wharfquarantine.Fingerprint {
	if entries := n.agent.Quarantine.Entries(time.Now()); len(entries) == 1 {
		return entries[0].Fingerprint
	}
	return 0
}
