package wharftarget

import (
	"io"
	"sync/atomic"

	"ragwortwharf.dev/wharf/wharfidempotency"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/internal/wharftransport"
)

// callBody reads the body of a call from its frames.
type callBody struct {
	stream wharftransport.Stream
	rest   []byte
	sum    wharfwire.BodySum
	ended  bool
	err    error
	// broken says that the sender broke off, so that the target isn't blamed
	// for a request that failed.
	broken atomic.Bool
}

// newCallBody returns the body of a call that began with a frame.
func newCallBody(stream wharftransport.Stream, first *wharfwire.CallFrame) *callBody {
	b := &callBody{stream: stream}
	b.err = b.take(first)
	return b
}

// take takes the part of the body that a frame carries.
func (b *callBody) take(frame *wharfwire.CallFrame) error {
	b.rest = frame.GetChunk()
	b.sum.Add(b.rest)
	end := frame.GetEnd()
	if end == nil {
		return nil
	}
	if !b.sum.Matches(end) {
		return b.breakOff()
	}
	b.ended = true
	return nil
}

func (b *callBody) breakOff() error {
	b.broken.Store(true)
	return io.ErrUnexpectedEOF
}

// Read returns the next bytes. The end is only reported after a closing frame
// that matches.
func (b *callBody) Read(p []byte) (int, error) {
	for len(b.rest) == 0 && b.err == nil {
		if b.ended {
			return 0, io.EOF
		}
		frame, err := b.stream.Recv()
		if err != nil {
			return 0, b.breakOff()
		}
		b.err = b.take(frame)
	}
	if b.err != nil {
		return 0, b.err
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// Close has nothing to free: the stream ends with the call.
func (b *callBody) Close() error {
	return nil
}

// storedResponse collects the answer of a keyed call while it passes.
type storedResponse struct {
	answer wharfidempotency.Response
	over   bool
}

func (k *storedResponse) add(p []byte) {
	if k.over || len(k.answer.Body)+len(p) > wharfidempotency.MaxStoredBody {
		k.over = true
		k.answer.Body = nil
		return
	}
	k.answer.Body = append(k.answer.Body, p...)
}
