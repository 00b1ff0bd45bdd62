package wharftransport

import (
	"context"
	"errors"
	"io"

	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

// localQueueFrames is the maximum number of frames queued in each direction of a
// call within the process.
const localQueueFrames = 4

// localCall is a call of this node to itself.
type localCall struct {
	ctx          context.Context
	receiver     Receiver
	callFrames   chan *wharfwire.CallFrame
	answerFrames chan *wharfwire.AnswerFrame
	// err is the result of the receiver. It is set before answerFrames is
	// closed.
	err error
}

// errPanic ends a call whose receiver has panicked.
var errPanic = errors.New("the receiver of the call has panicked")

func newLocalCall(ctx context.Context, r Receiver, log wharfevents.Log) *localCall {
	l := &localCall{
		ctx: ctx, receiver: r,
		callFrames:   make(chan *wharfwire.CallFrame, localQueueFrames),
		answerFrames: make(chan *wharfwire.AnswerFrame, localQueueFrames),
	}
	go l.run(log)
	return l
}

// run serves the call. A panic ends only the call, as net/http does it for the calls of other nodes.
func (l *localCall) run(log wharfevents.Log) {
	defer close(l.answerFrames)
	defer func() {
		if p := recover(); p != nil {
			l.err = errPanic
			log.EmitPanic("local-call", p)
		}
	}()
	l.err = l.receiver.Call(localStream{l})
}

func (l *localCall) Send(f *wharfwire.CallFrame) error {
	select {
	case l.callFrames <- f:
		return nil
	case <-l.ctx.Done():
		return l.ctx.Err()
	}
}

func (l *localCall) CloseSend() error {
	close(l.callFrames)
	return nil
}

// Sent always reports true, because the call needs no connection.
func (l *localCall) Sent() bool {
	return true
}

func (l *localCall) Recv() (*wharfwire.AnswerFrame, error) {
	select {
	case f, ok := <-l.answerFrames:
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
	*localCall
}

func (s localStream) Context() context.Context {
	return s.ctx
}

func (s localStream) Recv() (*wharfwire.CallFrame, error) {
	select {
	case f, ok := <-s.callFrames:
		if !ok {
			return nil, io.EOF
		}
		return f, nil
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	}
}

// Send sends a copy of the frame, because the Receiver reuses the frame.
func (s localStream) Send(f *wharfwire.AnswerFrame) error {
	copied := &wharfwire.AnswerFrame{Admitted: f.GetAdmitted(), Head: f.GetHead(), Chunk: f.GetChunk(), End: f.GetEnd(), Broken: f.GetBroken()}
	select {
	case s.answerFrames <- copied:
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}
