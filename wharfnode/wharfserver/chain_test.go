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

// TestChainOfNine sends a request through nine services that each call the
// next. It meets no fault, so the default attempts suffice, and every hop
// treats it as the class that the first one gave it.
func TestChainOfNine(t *testing.T) {
	is := is.New(t)
	m := newMesh(t)
	m.log.publish(t, "classes",
		wharfconfig.Document{Kind: wharfconfig.KindClass, Name: "high", Rank: 0},
		wharfconfig.Document{Kind: wharfconfig.KindClass, Name: "low", Rank: 9},
		wharfconfig.Document{Kind: wharfconfig.KindRule, Name: "first", Selector: "service=s1", Class: "high"},
		wharfconfig.Document{Kind: wharfconfig.KindRule, Name: "others", Selector: "service!=s1", Class: "low"})
	n := m.start("domain-a")
	const depth = 9
	var arrivals atomic.Int32
	for i := 1; i <= depth; i++ {
		m.serve(n, fmt.Sprint("s", i), func(w http.ResponseWriter, r *http.Request) {
			arrivals.Add(1)
			if i == depth {
				hello(w, r)
				return
			}
			below := n.send(request{service: fmt.Sprint("s", i+1), headers: [][2]string{
				{wharfwire.HeaderContext, r.Header.Get(wharfwire.HeaderContext)},
			}})
			w.WriteHeader(below.status)
			_, _ = w.Write([]byte(below.body))
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

// TestCancelledWorkLeaves lets callers go away while their requests run and
// wait. The target is told of the one, and never sees the other.
func TestCancelledWorkLeaves(t *testing.T) {
	is := is.New(t)
	m := newMesh(t)
	n := m.start("domain-a")
	var arrivals, cancelled atomic.Int32
	m.serve(n, "work", func(_ http.ResponseWriter, r *http.Request) {
		arrivals.Add(1)
		<-r.Context().Done()
		cancelled.Add(1)
	})
	const running, waiting = 4, 3 // a cold target runs four
	status := func() wharftarget.Status { return n.target.Registry.Status()[0] }
	leaveRunning := n.sendMany("work", running)
	wharftest.Eventually(t, "requests run", func() bool { return arrivals.Load() == running })
	leaveWaiting := n.sendMany("work", waiting)
	wharftest.Eventually(t, "requests wait", func() bool { return status().Queued == waiting })
	leaveWaiting()
	wharftest.Eventually(t, "the waiting ones leave", func() bool { return status().Queued == 0 })
	leaveRunning()
	wharftest.Eventually(t, "the running ones are cancelled", func() bool { return cancelled.Load() == running })
	wharftest.Eventually(t, "nothing is left", func() bool {
		return n.target.Calls() == 0 && status().Running == 0 && status().Queued == 0
	})
	is.Equal(arrivals.Load(), int32(running))
}

// sendMany sends requests at once and returns what makes their callers leave.
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
