package wharfserver

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/internal/wharftest"
)

// TestTimeOverInTheQueueIsNotRun has a request run out of time while it waits.
// Its caller must hear that it has not run, at whichever node it waits.
func TestTimeOverInTheQueueIsNotRun(t *testing.T) {
	is := is.New(t)
	m := newMesh(t)
	n, other := m.start("domain-a"), m.start("domain-b")
	var arrivals atomic.Int32
	m.serve(n, "work", func(_ http.ResponseWriter, r *http.Request) {
		arrivals.Add(1)
		<-r.Context().Done()
	})
	const running = 4 // a cold target runs four
	leave := n.sendMany("work", running)
	defer leave()
	wharftest.Eventually(t, "requests run", func() bool { return arrivals.Load() == running })
	for _, entry := range []*testNode{n, other} {
		for range 5 {
			got := entry.send(request{method: http.MethodPost, service: "work", headers: [][2]string{{wharfwire.HeaderTimeout, "100"}}})
			is.NoErr(got.err)
			is.Equal(got.outcome, "not-run")
			is.Equal(got.reason, "deadline")
			is.Equal(got.status, http.StatusServiceUnavailable)
		}
	}
	is.Equal(arrivals.Load(), int32(running))
}
