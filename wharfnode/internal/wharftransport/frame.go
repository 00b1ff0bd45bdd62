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
	// Path is where a node takes calls of other nodes.
	Path = "/wharf/v1/call"
	// maxFrame is the largest frame: a chunk of a body and the headers of a
	// request, in bytes.
	maxFrame = 1 << 20
	// readBuffer is the size of the buffer that frames are read through, in
	// bytes.
	readBuffer = 4 << 10
	// maxPooledBuffer is the largest buffer that is kept for reuse, in bytes.
	maxPooledBuffer = 64 << 10
)

// Stream is the receiving side of a call.
type Stream interface {
	Context() context.Context
	Recv() (*wharfwire.CallFrame, error)
	Send(f *wharfwire.AnswerFrame) error
}

// Receiver serves calls.
type Receiver interface {
	// Call serves one call. An error ends the answer early; the sender takes
	// nothing of it for whole.
	Call(s Stream) error
}

var unmarshal = protodelim.UnmarshalOptions{MaxSize: maxFrame}

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

func freeBuffer(b *bytes.Buffer) {
	if b.Cap() <= maxPooledBuffer {
		b.Reset()
		buffers.Put(b)
	}
}

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBuffer) }}

func newReader(r io.Reader) *bufio.Reader {
	b := readers.Get().(*bufio.Reader)
	b.Reset(r)
	return b
}

func freeReader(b *bufio.Reader) {
	b.Reset(nil)
	readers.Put(b)
}

// encode appends a frame with its length to a buffer.
func encode(b *bytes.Buffer, f proto.Message) error {
	_, err := protodelim.MarshalTo(b, f)
	return err
}
