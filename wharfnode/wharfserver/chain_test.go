package wharfserver

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/internal/wharftarget"
	"ragwortwharf.dev/wharfnode/internal/wharftest"
)

// TestChainOfNineServices sends a request through nine services that each call
// the next one. Without faults the default number of attempts must suffice. The
// first call gets its class from the rules. The later calls must keep that
// class, although the rules assign another class to their services.
func TestChainOfNineServices(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	c.log.publish(t, "classes",
		wharfconfig.Document{Kind: wharfconfig.KindClass, Name: "high", Rank: 0},
		wharfconfig.Document{Kind: wharfconfig.KindClass, Name: "low", Rank: 9},
		wharfconfig.Document{Kind: wharfconfig.KindRule, Name: "first", Selector: "service=s1", Class: "high"},
		wharfconfig.Document{Kind: wharfconfig.KindRule, Name: "others", Selector: "service!=s1", Class: "low"})
	n := c.startNode("domain-a")
	const depth = 9
	var arrivals atomic.Int32
	for i := 1; i <= depth; i++ {
		c.startTarget(n, fmt.Sprint("s", i), func(w http.ResponseWriter, r *http.Request) {
			arrivals.Add(1)
			if i == depth {
				hello(w, r)
				return
			}
			downstream := n.send(request{service: fmt.Sprint("s", i+1), headers: [][2]string{
				{wharfwire.HeaderContext, r.Header.Get(wharfwire.HeaderContext)},
			}})
			w.WriteHeader(downstream.status)
			_, _ = w.Write([]byte(downstream.body))
		})
	}
	wharftest.Eventually(t, "the classes are in force", func() bool { return len(n.view.Config().Classes()) == 2 })
	got := n.send(request{service: "s1"})
	is.Equal(got.status, 200)
	is.Equal(got.body, "hello")
	is.Equal(arrivals.Load(), int32(depth))
	var metrics strings.Builder
	n.metrics.WritePrometheus(&metrics)
	is.True(strings.Contains(metrics.String(), fmt.Sprintf(`wharf_dispatches_total{class="high",outcome="completed",reason=""} %d`, depth)))
	is.True(!strings.Contains(metrics.String(), `wharf_dispatches_total{class="low"`))
}

// TestDisconnectCancelsRequests guards against requests that stay running or
// queued after their callers disconnected. The target must see the cancellation
// of running requests, and must never receive the queued ones.
func TestDisconnectCancelsRequests(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	n := c.startNode("domain-a")
	var arrivals, cancelled atomic.Int32
	c.startTarget(n, "work", func(_ http.ResponseWriter, r *http.Request) {
		arrivals.Add(1)
		<-r.Context().Done()
		cancelled.Add(1)
	})
	const running, waiting = 4, 3 // a new target runs four requests at a time
	status := func() wharftarget.Status { return n.target.Registry.Status()[0] }
	cancelRunning := n.sendMany("work", running)
	wharftest.Eventually(t, "requests run", func() bool { return arrivals.Load() == running })
	cancelWaiting := n.sendMany("work", waiting)
	wharftest.Eventually(t, "requests are queued", func() bool { return status().Queued == waiting })
	cancelWaiting()
	wharftest.Eventually(t, "the queued requests are cancelled", func() bool { return status().Queued == 0 })
	cancelRunning()
	wharftest.Eventually(t, "the running requests are cancelled", func() bool { return cancelled.Load() == running })
	wharftest.Eventually(t, "no request is left", func() bool {
		return n.target.CallsInFlight() == 0 && status().Running == 0 && status().Queued == 0
	})
	is.Equal(arrivals.Load(), int32(running))
}

// sendMany sends count requests concurrently. The returned function disconnects
// their callers.
func (n *testNode) sendMany(service string, count int) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	for range count {
		go func() {
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, n.caller, http.NoBody)
			if err != nil {
				return
			}
			r.Header.Set(wharfwire.HeaderService, service)
			if response, err := http.DefaultClient.Do(r); err == nil {
				_ = response.Body.Close()
			}
		}()
	}
	return cancel
}
