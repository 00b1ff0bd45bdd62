package wharfserver

import (
	"net"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/internal/wharftest"
)

// mixedUpNode sends the answer of another attempt before the right one.
type mixedUpNode struct {
	wharfwire.UnimplementedNodeServer
}

func (mixedUpNode) Call(stream grpc.BidiStreamingServer[wharfwire.CallFrame, wharfwire.AnswerFrame]) error {
	frame, err := stream.Recv()
	if err != nil {
		return err
	}
	id := frame.GetHead().GetAttemptId()
	for _, answer := range []struct {
		id   uint64
		body string
	}{{id + 1, "not yours"}, {id, "yours"}} {
		var sum wharfwire.BodySum
		sum.Add([]byte(answer.body))
		err := stream.Send(&wharfwire.AnswerFrame{
			Head:  &wharfwire.AnswerHead{AttemptId: answer.id, Outcome: uint32(wharfoutcome.Completed), Status: 200},
			Chunk: []byte(answer.body),
			End:   &wharfwire.AnswerEnd{Body: sum.End()},
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func TestAnswerOfAnotherAttemptIsThrownAway(t *testing.T) {
	is := is.New(t)
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := grpc.NewServer()
	wharfwire.RegisterNodeServer(server, mixedUpNode{})
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	n := newMesh(t).start("domain-a")
	n.view.Merge([]wharfmember.Member{{
		Node: "domain-a/mixed-up", Incarnation: 1, Version: 1, Address: l.Addr().String(), FailureDomain: "domain-a", Region: "r",
		Targets: []wharfmember.Target{{Service: "reads", Address: "127.0.0.1:1", Slots: 1}},
	}})
	wharftest.Eventually(t, "the right answer comes", func() bool {
		got := n.send(request{service: "reads"})
		is.True(got.body != "not yours")
		return got.status == 200 && got.body == "yours"
	})
}
