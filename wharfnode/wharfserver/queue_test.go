package wharfserver

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/internal/wharftest"
)

// TestDeadlineExceededInQueueIsNotRun guards against an uncertain outcome of
// requests whose deadline passes while they are queued. The outcome must be
// "not-run", whether the caller sends to the target's node or to another one.
func TestDeadlineExceededInQueueIsNotRun(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	n, other := c.startNode("domain-a"), c.startNode("domain-b")
	var arrivals atomic.Int32
	c.startTarget(n, "work", func(_ http.ResponseWriter, r *http.Request) {
		arrivals.Add(1)
		<-r.Context().Done()
	})
	const running = 4 // a new target runs four requests at a time
	disconnect := n.sendMany("work", running)
	defer disconnect()
	wharftest.Eventually(t, "requests run", func() bool { return arrivals.Load() == running })
	for _, sender := range []*testNode{n, other} {
		for range 5 {
			got := sender.send(request{method: http.MethodPost, service: "work", headers: [][2]string{{wharfwire.HeaderTimeout, "100"}}})
			is.NoErr(got.err)
			is.Equal(got.outcome, "not-run")
			is.Equal(got.reason, "deadline")
			is.Equal(got.status, http.StatusServiceUnavailable)
		}
	}
	is.Equal(arrivals.Load(), int32(running))
}
