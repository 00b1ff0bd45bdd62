package wharfserver

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"ragwortwharf.dev/wharf/wharfidempotency"
	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/internal/wharfpeers"
	"ragwortwharf.dev/wharfnode/internal/wharftransport"
)

// TestNodeContract sends valid and invalid requests to a node, as other nodes
// do, and checks the responses.
func TestNodeContract(t *testing.T) {
	c := newTestCluster(t)
	n := c.startNode("domain-a")
	c.startTarget(n, "reads", hello)
	var pool wharfpeers.Pool
	t.Cleanup(pool.Close)
	var transport wharftransport.Client
	t.Cleanup(transport.Close)
	client, err := pool.Client(n.settings.NodeListen)
	if err != nil {
		t.Fatal(err)
	}
	head := func(change func(h *wharfwire.CallHead)) *wharfwire.CallHead {
		h := &wharfwire.CallHead{AttemptId: 7, Service: "reads", Method: "GET", Uri: "/", Idempotent: true, TimeoutMs: 5000, Attempts: 3}
		change(h)
		return h
	}
	var emptyBody, otherBody wharfwire.BodySum
	otherBody.Add([]byte("other"))
	tests := []struct {
		name    string
		head    *wharfwire.CallHead
		end     *wharfwire.BodyEnd
		fails   bool
		outcome wharfoutcome.Kind
		reason  wharfoutcome.Reason
	}{
		{"good call", head(func(*wharfwire.CallHead) {}), emptyBody.End(), false, wharfoutcome.Completed, ""},
		{"no head", nil, emptyBody.End(), true, 0, ""},
		{"service without target", head(func(h *wharfwire.CallHead) { h.Service = "other" }), emptyBody.End(), false, wharfoutcome.NotRun, "no-target"},
		{"deadline exceeded", head(func(h *wharfwire.CallHead) { h.TimeoutMs = 0 }), emptyBody.End(), false, wharfoutcome.NotRun, "deadline"},
		{"sender has a newer state offset", head(func(h *wharfwire.CallHead) { h.Idempotent, h.Key, h.StateOffset = false, "k", 99 }), emptyBody.End(), false, wharfoutcome.NotRun, "home-catching-up"},
		{"checksum of another body", head(func(h *wharfwire.CallHead) { h.Method, h.ContentLength = "POST", 5 }), otherBody.End(), false, wharfoutcome.Unknown, "body-incomplete"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			stream := transport.Open(ctx, n.settings.NodeListen)
			is.NoErr(stream.Send(&wharfwire.CallFrame{Head: tc.head, End: tc.end}))
			is.NoErr(stream.CloseSend())
			frame, err := stream.Recv()
			is.Equal(err != nil, tc.fails)
			if tc.fails {
				return
			}
			is.Equal(frame.GetHead().GetAttemptId(), uint64(7))
			is.Equal(wharfoutcome.Kind(frame.GetHead().GetOutcome()), tc.outcome)
			is.Equal(wharfoutcome.Reason(frame.GetHead().GetReason()), tc.reason)
			is.True(frame.GetHead().GetLoad() != nil || tc.reason == "no-target")
		})
	}
	// The response to a joining node must stay small, even if the node knows
	// many departed members.
	t.Run("introduction", func(t *testing.T) {
		is := is.New(t)
		n.view.Members(func(t *wharfmember.Table) {
			for i := range 2000 {
				t.Merge(wharfmember.Member{Node: fmt.Sprint("domain-b/", i), FailureDomain: "domain-b", State: wharfmember.Left})
			}
		})
		r, err := client.Exchange(context.Background(), &wharfwire.ExchangeRequest{Introduction: true})
		is.NoErr(err)
		is.Equal(len(r.GetRecords())+len(r.GetSnapshot())+len(r.GetBuckets()), 0)
		is.True(proto.Size(r) < 16<<10)
		found := false
		for _, member := range r.GetMembers() {
			found = found || member.GetNode() == n.view.Node()
		}
		is.True(found)
	})
	t.Run("consult", func(t *testing.T) {
		is := is.New(t)
		req := &wharfwire.ConsultRequest{Service: "reads", Key: "k", Incarnation: n.view.Incarnation()}
		r, err := client.Consult(context.Background(), req)
		is.NoErr(err)
		is.Equal(wharfidempotency.State(r.GetState()), wharfidempotency.Absent)
		req.Incarnation++
		_, err = client.Consult(context.Background(), req)
		is.Equal(status.Code(err), codes.FailedPrecondition)
	})
}
