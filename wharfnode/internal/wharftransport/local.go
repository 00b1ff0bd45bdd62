package wharftransport

import (
	"context"
	"io"

	"ragwortwharf.dev/wharf/wharfwire"
)

// localFrames is how many frames may wait on each way of a call within the
// process.
const localFrames = 4

// local is a call to the own node.
type local struct {
	ctx      context.Context
	receiver Receiver
	calls    chan *wharfwire.CallFrame
	answers  chan *wharfwire.AnswerFrame
	err      error
}

func newLocal(ctx context.Context, r Receiver) *local {
	l := &local{
		ctx: ctx, receiver: r,
		calls:   make(chan *wharfwire.CallFrame, localFrames),
		answers: make(chan *wharfwire.AnswerFrame, localFrames),
	}
	go l.run()
	return l
}

// run serves the call.
func (l *local) run() {
	l.err = l.receiver.Call(localStream{l})
	close(l.answers)
}

func (l *local) Send(f *wharfwire.CallFrame) error {
	select {
	case l.calls <- f:
		return nil
	case <-l.ctx.Done():
		return l.ctx.Err()
	}
}

func (l *local) CloseSend() error {
	close(l.calls)
	return nil
}

func (l *local) Sent() bool {
	return true
}

func (l *local) Recv() (*wharfwire.AnswerFrame, error) {
	select {
	case f, ok := <-l.answers:
		if ok {
			return f, nil
		}
		if l.err != nil {
			return nil, l.err
		}
		return nil, io.EOF
	case <-l.ctx.Done():
		return nil, l.ctx.Err()
	}
}

// localStream is the receiving side of a call within the process.
type localStream struct {
	*local
}

func (s localStream) Context() context.Context {
	return s.ctx
}

func (s localStream) Recv() (*wharfwire.CallFrame, error) {
	select {
	case f, ok := <-s.calls:
		if !ok {
			return nil, io.EOF
		}
		return f, nil
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	}
}

// Send passes a copy on, because the sender uses the frame again.
func (s localStream) Send(f *wharfwire.AnswerFrame) error {
	own := &wharfwire.AnswerFrame{Admitted: f.GetAdmitted(), Head: f.GetHead(), Chunk: f.GetChunk(), End: f.GetEnd(), Broken: f.GetBroken()}
	select {
	case s.answers <- own:
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}
