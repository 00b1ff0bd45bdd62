package wharfserver

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/internal/wharftest"
	"ragwortwharf.dev/wharfnode/internal/wharftransport"
)

// wrongAttemptNode sends the response of another attempt before the right one.
type wrongAttemptNode struct{}

func (wrongAttemptNode) Call(stream wharftransport.ServerStream) error {
	frame, err := stream.Recv()
	if err != nil {
		return err
	}
	id := frame.GetHead().GetAttemptId()
	response := func(id uint64, body string) *wharfwire.AnswerFrame {
		return &wharfwire.AnswerFrame{
			Head:  &wharfwire.AnswerHead{AttemptId: id, Outcome: uint32(wharfoutcome.Completed), Status: 200},
			Chunk: []byte(body),
		}
	}
	if err := stream.Send(response(id+1, "not yours")); err != nil {
		return err
	}
	right := response(id, "yours")
	var sum wharfwire.BodySum
	sum.Add(right.GetChunk())
	right.End = &wharfwire.AnswerEnd{Body: sum.End()}
	return stream.Send(right)
}

// TestResponseOfAnotherAttemptIsDropped guards against a caller that receives
// the response of another attempt, which the target's node sends first.
func TestResponseOfAnotherAttemptIsDropped(t *testing.T) {
	is := is.New(t)
	n := newTestCluster(t).startNode("domain-a")
	n.mergeFakePeer(t, "mixed-up", wrongAttemptNode{})
	wharftest.Eventually(t, "the right response arrives", func() bool {
		got := n.send(request{service: "reads"})
		is.True(got.body != "not yours")
		return got.status == 200 && got.body == "yours"
	})
}

// lateOutcomeNode responds that a request has not run, some time after its deadline.
type lateOutcomeNode struct {
	delay time.Duration
}

func (n lateOutcomeNode) Call(stream wharftransport.ServerStream) error {
	frame, err := stream.Recv()
	if err != nil {
		return err
	}
	head := frame.GetHead()
	time.Sleep(time.Duration(head.GetTimeoutMs())*time.Millisecond + n.delay)
	return stream.Send(&wharfwire.AnswerFrame{
		Head: &wharfwire.AnswerHead{
			AttemptId: head.GetAttemptId(), Outcome: uint32(wharfoutcome.NotRun), Reason: string(wharfoutcome.ReasonDeadline), RetryAfterMs: 70,
		},
		End: &wharfwire.AnswerEnd{Body: new(wharfwire.BodySum).End()},
	})
}

// TestOutcomeAfterDeadline checks that a request gets the outcome that the target's
// node reports shortly after the deadline, and that it doesn't wait much longer.
func TestOutcomeAfterDeadline(t *testing.T) {
	tests := []struct {
		name    string
		delay   time.Duration
		outcome string
	}{
		{"a busy node reports that the request has not run", 50 * time.Millisecond, "not-run"},
		{"no report arrives in time", time.Second, "unknown"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			n := newTestCluster(t).startNode("domain-a")
			n.mergeFakePeer(t, "late", lateOutcomeNode{tc.delay})
			const timeout, heldBound = 200 * time.Millisecond, 250 * time.Millisecond
			began := time.Now()
			got := n.send(request{service: "reads", headers: [][2]string{{wharfwire.HeaderTimeout, strconv.Itoa(int(timeout.Milliseconds()))}}})
			is.True(time.Since(began) < timeout+heldBound)
			is.Equal(got.outcome, tc.outcome)
			is.Equal(got.reason, "deadline")
		})
	}
}

// mergeFakePeer adds a peer that serves calls with a receiver, and has a target of the
// service reads.
func (n *testNode) mergeFakePeer(t *testing.T, name string, receiver wharftransport.Receiver) {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: wharftransport.Handler{Receiver: receiver}}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	n.view.Merge([]wharfmember.Member{{
		Node: "domain-a/" + name, Incarnation: 1, Version: 1, Address: l.Addr().String(), FailureDomain: "domain-a", Region: "r",
		Targets: []wharfmember.Target{{Service: "reads", Address: "127.0.0.1:1", Slots: 1}},
	}})
}

// TestUnreachableNodesSpendNoRetryBudget sends more requests at once than the retry
// budget allows retries, while two of three nodes are unreachable. No request may fail:
// an attempt that was not sent adds no load.
func TestUnreachableNodesSpendNoRetryBudget(t *testing.T) {
	is := is.New(t)
	n := newTestCluster(t).startNode("domain-a")
	n.mergeFakePeer(t, "reachable", respondingNode{})
	for _, name := range []string{"lost-1", "lost-2"} {
		n.view.Merge([]wharfmember.Member{{
			Node: "domain-a/" + name, Incarnation: 1, Version: 1, Address: ports.Address(t), FailureDomain: "domain-a", Region: "r",
			Targets: []wharfmember.Target{{Service: "reads", Address: name, Slots: 1}},
		}})
	}
	const requests = 60
	replies := make(chan reply)
	for range requests {
		go func() { replies <- n.send(request{service: "reads"}) }()
	}
	for range requests {
		is.Equal((<-replies).status, http.StatusOK)
	}
}

// respondingNode serves every call with a short response.
type respondingNode struct{}

func (respondingNode) Call(stream wharftransport.ServerStream) error {
	frame, err := stream.Recv()
	if err != nil {
		return err
	}
	return stream.Send(&wharfwire.AnswerFrame{
		Head: &wharfwire.AnswerHead{AttemptId: frame.GetHead().GetAttemptId(), Outcome: uint32(wharfoutcome.Completed), Status: http.StatusOK},
		End:  &wharfwire.AnswerEnd{Body: new(wharfwire.BodySum).End()},
	})
}
