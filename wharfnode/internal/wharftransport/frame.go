package wharftransport

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"sync"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"ragwortwharf.dev/wharf/wharfwire"
)

const (
	// Path is the URL path at which a node serves the calls of other nodes.
	Path = "/wharf/v1/call"
	// maxFrameSize is the maximum size of a frame in bytes. A frame has at most
	// the headers of a request and one chunk of a body.
	maxFrameSize = 1 << 20
	// readBufferSize is the size in bytes of the buffer through which frames are
	// read.
	readBufferSize = 4 << 10
	// maxPooledBufferSize is the size in bytes above which a buffer is not
	// reused.
	maxPooledBufferSize = 64 << 10
)

// ServerStream is the receiving side of a call. Its context ends when the sender
// disconnects or cancels the call.
type ServerStream interface {
	Context() context.Context
	Recv() (*wharfwire.CallFrame, error)
	Send(f *wharfwire.AnswerFrame) error
}

// Receiver serves calls. It must be safe for concurrent use.
type Receiver interface {
	// Call serves one call. If it returns an error, the response is aborted, and
	// the sender must treat what it received as incomplete. The sender gets the
	// reason of an AbortedError.
	Call(s ServerStream) error
}

var unmarshal = protodelim.UnmarshalOptions{MaxSize: maxFrameSize}

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// freeBuffer returns a buffer to the pool, unless it is too large to keep.
func freeBuffer(b *bytes.Buffer) {
	if b.Cap() <= maxPooledBufferSize {
		b.Reset()
		buffers.Put(b)
	}
}

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}

// newReader returns a reader from the pool that reads from r.
func newReader(r io.Reader) *bufio.Reader {
	b := readers.Get().(*bufio.Reader)
	b.Reset(r)
	return b
}

// freeReader returns a reader to the pool.
func freeReader(b *bufio.Reader) {
	b.Reset(nil)
	readers.Put(b)
}

// encode appends a frame, preceded by its length, to a buffer.
func encode(b *bytes.Buffer, f proto.Message) error {
	_, err := protodelim.MarshalTo(b, f)
	return err
}
