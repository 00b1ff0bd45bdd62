package wharfserver

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharfnode/internal/wharftest"
)

// silentLimit is how long requests may take while a part of what serves them has
// fallen silent: well below their deadline of some seconds, and above two tries
// of a connection.
const silentLimit = 2 * time.Second

// sendThrough sends requests that may run twice for a while, and returns the
// slowest time and how many were not served.
func (n *testNode) sendThrough(service string, span time.Duration) (slowest time.Duration, unserved int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		wg.Go(func() {
			started := time.Now()
			got := n.send(request{service: service})
			mu.Lock()
			defer mu.Unlock()
			slowest = max(slowest, time.Since(started))
			if got.status != http.StatusOK {
				unserved++
			}
		})
	}
	wg.Wait()
	return slowest, unserved
}

// TestSilentTargetIsLeft has one of two targets hang and take no connections, as
// after a loss of power.
func TestSilentTargetIsLeft(t *testing.T) {
	is := is.New(t)
	m := newMesh(t)
	n, other, sender := m.start("domain-a"), m.start("domain-b"), m.start("domain-c")
	var dark atomic.Bool
	end := make(chan struct{})
	defer close(end)
	server := m.serve(n, "work", func(_ http.ResponseWriter, r *http.Request) {
		if dark.Load() {
			select {
			case <-r.Context().Done():
			case <-end:
			}
		}
	})
	m.serve(other, "work", func(http.ResponseWriter, *http.Request) {})
	_, unserved := sender.sendThrough("work", 200*time.Millisecond)
	is.Equal(unserved, 0)
	dark.Store(true)
	_ = server.Listener.Close()
	slowest, unserved := sender.sendThrough("work", time.Second)
	is.Equal(unserved, 0)
	is.True(slowest < silentLimit)
}

// TestSilentTargetsKeptAnswer has a target fall silent after a booking with a key.
// A resend gets the kept answer, and never hears that the booking has not run.
func TestSilentTargetsKeptAnswer(t *testing.T) {
	is := is.New(t)
	m := newMesh(t)
	n, sender := m.start("domain-a"), m.start("domain-b")
	var dark atomic.Bool
	server := m.serve(n, "book", func(w http.ResponseWriter, r *http.Request) {
		if dark.Load() {
			<-r.Context().Done()
		}
		_, _ = w.Write([]byte("booked"))
	})
	booking := request{method: http.MethodPost, service: "book", key: "k", body: "seat 1"}
	is.Equal(sender.send(booking).body, "booked")
	dark.Store(true)
	_ = server.Listener.Close()
	wharftest.Eventually(t, "the silence is known", func() bool {
		return sender.send(request{service: "book"}).reason == "target-silent"
	})
	got := sender.send(booking)
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.body, "booked")
}

// TestSilentNodeIsLeft has the node of one of two targets fall dark, so that
// nothing that is sent to it is answered and no connection breaks.
func TestSilentNodeIsLeft(t *testing.T) {
	is := is.New(t)
	m := newMesh(t)
	n, other, sender := m.start("domain-a"), m.start("domain-b"), m.start("domain-c")
	m.serve(n, "work", func(http.ResponseWriter, *http.Request) {})
	m.serve(other, "work", func(http.ResponseWriter, *http.Request) {})
	_, unserved := sender.sendThrough("work", 200*time.Millisecond)
	is.Equal(unserved, 0)
	n.link.fallDark()
	slowest, unserved := sender.sendThrough("work", time.Second)
	is.Equal(unserved, 0)
	is.True(slowest < silentLimit)
}
