package wharfproxy

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharfidempotency"
	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfrouting"
	"ragwortwharf.dev/wharf/wharfsocket/wharfmemnet"
	"ragwortwharf.dev/wharfnode/internal/wharftransport"
	"ragwortwharf.dev/wharfnode/internal/wharfview"
)

// errOtherIncarnation is the response of a node that is asked for an earlier incarnation.
var errOtherIncarnation = errors.New("another incarnation of the node")

// forgetfulNode is a node that has no entry of any key. It knows only its present incarnation.
type forgetfulNode struct {
	incarnation atomic.Uint64
}

func (n *forgetfulNode) Consult(_ context.Context, owner wharfidempotency.Owner, _ wharfidempotency.KeyID) (wharfidempotency.KeyEntry, error) {
	if owner.Incarnation != n.incarnation.Load() {
		return wharfidempotency.KeyEntry{}, errOtherIncarnation
	}
	return wharfidempotency.KeyEntry{State: wharfidempotency.Absent}, nil
}

// TestAttemptIsUnknownAfterRestart guards against an outcome "not-run" that a node gives which has
// restarted since the attempt was sent to it: the earlier process may have run the request. The
// sender learns of the new incarnation before it learns that the response is lost.
func TestAttemptIsUnknownAfterRestart(t *testing.T) {
	const first, second = 100, 200
	tests := []struct {
		name     string
		restarts bool
		// stops is true if the planned stop of the sender ends the attempt, and false if the
		// connection to the node is lost.
		stops bool
		want  wharfoutcome.Kind
	}{
		{"connection lost, same process", false, false, wharfoutcome.NotRun},
		{"connection lost, restarted", true, false, wharfoutcome.Unknown},
		{"sender stops, same process", false, true, wharfoutcome.NotRun},
		{"sender stops, restarted", true, true, wharfoutcome.Unknown},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			member := wharfmember.Member{Node: "domain-a/target", Incarnation: first}
			node := &forgetfulNode{}
			node.incarnation.Store(first)
			view := wharfview.New(wharfmember.Member{Node: "domain-a/sender"})
			ctx, cancel := context.WithCancelCause(t.Context())
			server := wharfmemnet.NewServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if tc.restarts {
					node.incarnation.Store(second)
					restarted := member
					restarted.Incarnation = second
					view.Merge([]wharfmember.Member{restarted})
				}
				if tc.stops {
					cancel(ErrStopped)
				}
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				if tc.stops {
					<-ctx.Done()
				}
				_ = conn.Close()
			}))
			member.Address = strings.TrimPrefix(server.URL, "http://")
			view.Merge([]wharfmember.Member{member})
			p := &Proxy{View: view, Consulter: node, Transport: &wharftransport.Client{}}
			t.Cleanup(p.Transport.Close)
			r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/bookings", http.NoBody)
			c := &call{ctx: ctx, r: r, deadline: time.Now().Add(time.Minute)}
			result := p.exchange(c, wharfrouting.Target{Node: member.Node, NodeAddress: member.Address}, 1)
			is.True(result.arrived)
			is.Equal(result.outcome.Kind, tc.want)
		})
	}
}
