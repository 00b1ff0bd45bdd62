package wharftarget

import (
	"context"
	"io"
	"testing"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharfwire"
)

// frameStream is the stream of a call whose body has arrived.
type frameStream struct {
	frames []*wharfwire.CallFrame
}

func (*frameStream) Context() context.Context { return context.Background() }

func (*frameStream) Send(*wharfwire.AnswerFrame) error { return nil }

func (s *frameStream) Recv() (*wharfwire.CallFrame, error) {
	if len(s.frames) == 0 {
		return nil, io.EOF
	}
	frame := s.frames[0]
	s.frames = s.frames[1:]
	return frame, nil
}

// TestBodyIsReadAfterEarlyRefusal guards against a data race: the transport still sends the body
// when the node checks whether a call that the target has refused may be repeated.
func TestBodyIsReadAfterEarlyRefusal(t *testing.T) {
	is := is.New(t)
	content := []byte("abc")
	var sum wharfwire.BodySum
	sum.Add(content)
	sum.Add(content)
	last := &wharfwire.CallFrame{Chunk: content, End: sum.End()}
	body := newCallBody(&frameStream{frames: []*wharfwire.CallFrame{last}}, &wharfwire.CallFrame{Chunk: content})
	sent := make(chan error)
	go func() {
		_, err := io.Copy(io.Discard, body)
		sent <- err
	}()
	is.True(!body.empty)
	is.NoErr(<-sent)
	is.True(!body.empty)
}
