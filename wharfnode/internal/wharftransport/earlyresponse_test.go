package wharftransport

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfwire"
)

// lateReader serves a call without reading its body, and reads the body in its own goroutine.
type lateReader struct {
	// begin starts reading.
	begin chan struct{}
	// serve responds to a call.
	serve func(s ServerStream, first *wharfwire.CallFrame) error
	// chunks receives the chunks that were read, before the first error.
	chunks chan [][]byte
}

func (r *lateReader) Call(s ServerStream) error {
	first, err := s.Recv()
	if err != nil {
		return err
	}
	go r.run(s)
	return r.serve(s, first)
}

// run reads the rest of the body, as the HTTP transport does that sends a request to a target.
func (r *lateReader) run(s ServerStream) {
	<-r.begin
	var chunks [][]byte
	for {
		f, err := s.Recv()
		if err != nil {
			break
		}
		chunks = append(chunks, f.GetChunk())
		if f.GetEnd() != nil {
			break
		}
	}
	r.chunks <- chunks
}

// TestBodyIsReadAfterResponse guards against a crash, and against bytes of another call, when the
// body of a call is read after the call has ended, because the target has responded before it has
// read the request. The reader must get the body in order, or an error.
func TestBodyIsReadAfterResponse(t *testing.T) {
	const chunk, chunks = 8 << 10, 16
	aborted := func(ServerStream, *wharfwire.CallFrame) error {
		return &AbortedError{wharfoutcome.ReasonResponseIncomplete}
	}
	tests := []struct {
		name    string
		serve   func(s ServerStream, first *wharfwire.CallFrame) error
		streams bool
		// after is true if the body is read only after the response, and false if it is read
		// at the same time.
		after bool
	}{
		{"buffered body, after the response", sendComplete, false, true},
		{"buffered body, during the response", sendComplete, false, false},
		{"buffered body, after an abort", aborted, false, true},
		{"streamed body, after the response", sendComplete, true, true},
		{"streamed body, during the response", sendComplete, true, false},
		{"streamed body, after an abort", aborted, true, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r := &lateReader{begin: make(chan struct{}), serve: tc.serve, chunks: make(chan [][]byte, 1)}
			if !tc.after {
				close(r.begin)
			}
			_, address := startNode(t, r)
			var c Client
			defer c.Close()
			x := c.Open(t.Context(), address)
			is.NoErr(x.Send(&wharfwire.CallFrame{Head: &wharfwire.CallHead{AttemptId: 7, Streams: tc.streams}}))
			for i := range chunks {
				f := &wharfwire.CallFrame{Chunk: bytes.Repeat([]byte{byte(i)}, chunk)}
				if i == chunks-1 {
					f.End = &wharfwire.BodyEnd{}
				}
				is.NoErr(x.Send(f))
			}
			is.NoErr(x.CloseSend())
			_, err := x.Recv()
			for err == nil {
				_, err = x.Recv()
			}
			// Another call takes what the first one has given back.
			_, _ = call(&c, address)
			if tc.after {
				close(r.begin)
			}
			for i, got := range <-r.chunks {
				is.True(bytes.Equal(got, bytes.Repeat([]byte{byte(i)}, chunk)))
			}
		})
	}
}
