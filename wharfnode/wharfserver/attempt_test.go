package wharfserver

import (
	"net"
	"net/http"
	"testing"

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
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{Handler: wharftransport.Handler{Receiver: wrongAttemptNode{}}}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	n := newTestCluster(t).startNode("domain-a")
	n.view.Merge([]wharfmember.Member{{
		Node: "domain-a/mixed-up", Incarnation: 1, Version: 1, Address: l.Addr().String(), FailureDomain: "domain-a", Region: "r",
		Targets: []wharfmember.Target{{Service: "reads", Address: "127.0.0.1:1", Slots: 1}},
	}})
	wharftest.Eventually(t, "the right response arrives", func() bool {
		got := n.send(request{service: "reads"})
		is.True(got.body != "not yours")
		return got.status == 200 && got.body == "yours"
	})
}
