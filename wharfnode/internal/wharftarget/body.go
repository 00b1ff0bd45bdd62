package wharftarget

import (
	"io"
	"sync/atomic"

	"ragwortwharf.dev/wharf/wharfidempotency"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/internal/wharftransport"
)

// callBody is the request body of a call, which Read takes from the frames of the
// call.
type callBody struct {
	stream   wharftransport.ServerStream
	unread   []byte
	sum      wharfwire.BodySum
	complete bool
	err      error
	// empty is true if the first frame has ended the body without content. It doesn't change,
	// because the transport may read the body even after the target has responded.
	empty bool
	// aborted is true if the sender did not send the complete body, so that the
	// failure of the request is not recorded as a crash of the target.
	aborted atomic.Bool
	// begun is true once something was read.
	begun atomic.Bool
	// read is true once all of the body was read.
	read atomic.Bool
}

// newCallBody returns the body of the call on a stream whose first frame was already
// received.
func newCallBody(stream wharftransport.ServerStream, first *wharfwire.CallFrame) *callBody {
	b := &callBody{stream: stream}
	b.err = b.addFrame(first)
	b.empty = b.complete && len(b.unread) == 0
	return b
}

// addFrame makes the chunk of a frame available to Read. If the frame ends the body,
// addFrame compares the checksum of the body with the one of the sender.
func (b *callBody) addFrame(frame *wharfwire.CallFrame) error {
	b.unread = frame.GetChunk()
	b.sum.Add(b.unread)
	end := frame.GetEnd()
	if end == nil {
		return nil
	}
	if !b.sum.Matches(end) {
		return b.abort()
	}
	b.complete = true
	return nil
}

// abort marks the body as aborted and returns the error for Read.
func (b *callBody) abort() error {
	b.aborted.Store(true)
	return io.ErrUnexpectedEOF
}

// Read reads the next bytes of the body. It returns io.EOF only after an end frame
// whose checksum matches, and io.ErrUnexpectedEOF if the body is incomplete.
func (b *callBody) Read(p []byte) (int, error) {
	b.begun.Store(true)
	for len(b.unread) == 0 && b.err == nil {
		if b.complete {
			b.read.Store(true)
			return 0, io.EOF
		}
		frame, err := b.stream.Recv()
		if err != nil {
			return 0, b.abort()
		}
		b.err = b.addFrame(frame)
	}
	if b.err != nil {
		return 0, b.err
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

// Close does nothing: the stream ends with the call.
func (b *callBody) Close() error {
	return nil
}

// storedResponse collects the response to a keyed call while the node relays it.
type storedResponse struct {
	response wharfidempotency.Response
	// tooLarge is true if the body exceeded wharfidempotency.MaxStoredBody. The
	// body is dropped then.
	tooLarge bool
}

func (r *storedResponse) add(p []byte) {
	if r.tooLarge || len(r.response.Body)+len(p) > wharfidempotency.MaxStoredBody {
		r.tooLarge = true
		r.response.Body = nil
		return
	}
	r.response.Body = append(r.response.Body, p...)
}
