package wharftransport

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"ragwortwharf.dev/wharf/wharfsocket"
	"ragwortwharf.dev/wharf/wharfwire"
)

// Handler serves calls over HTTP.
type Handler struct {
	Receiver Receiver
	// CloseConnection reports whether the connection of a call is to be closed after the
	// response. It may be nil.
	CloseConnection func() bool
}

// ServeHTTP serves one call. If the receiver returns an error that is not an
// AbortedError, the HTTP response has status 400, or the connection is aborted
// if a part of the response was already sent.
func (h Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := &serverStream{w: w, r: r, reader: newReader(r.Body), closeConnection: h.CloseConnection}
	err := h.Receiver.Call(s)
	// The reader of a body that came in several frames is not reused, because another
	// goroutine may still read from it.
	if !s.readLater {
		freeReader(s.reader)
	}
	if err == nil {
		s.end()
		return
	}
	var aborted *AbortedError
	switch {
	case errors.As(err, &aborted):
		s.abort(aborted)
		s.end()
	case s.wrote:
		s.cut()
	default:
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// serverStream is the receiving side of a call over HTTP.
type serverStream struct {
	w      http.ResponseWriter
	r      *http.Request
	reader *bufio.Reader
	// begun is true once the first frame was received.
	begun bool
	// readLater is true if the first frame doesn't end the body. The rest may be read while the
	// response is sent, and after it, by the goroutine that sends the body to the target.
	readLater bool
	// ended is true once the frame that ends the body was received.
	ended atomic.Bool
	// closeConnection is that of the Handler.
	closeConnection func() bool
	// wrote is true once a part of the response was written.
	wrote bool
}

func (s *serverStream) Context() context.Context {
	return s.r.Context()
}

func (s *serverStream) Recv() (*wharfwire.CallFrame, error) {
	if s.ended.Load() {
		return nil, io.EOF
	}
	f := new(wharfwire.CallFrame)
	if err := unmarshal.UnmarshalFrom(s.reader, f); err != nil {
		return nil, err
	}
	if err := s.begin(f); err != nil {
		return nil, err
	}
	if f.GetEnd() == nil {
		return f, nil
	}
	if s.readLater {
		// net/http notices that the sender has disconnected only after the
		// request body was read to EOF.
		if _, err := s.reader.ReadByte(); !errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		}
	}
	s.ended.Store(true)
	return f, nil
}

// begin prepares the stream for a body of several frames, if f is the first frame.
func (s *serverStream) begin(f *wharfwire.CallFrame) error {
	if s.begun {
		return nil
	}
	s.begun, s.readLater = true, f.GetEnd() == nil
	s.boundDelivery(f.GetHead())
	if !s.readLater {
		return nil
	}
	// Without full duplex, net/http reads the rest of the request body itself before it writes
	// a response.
	return http.NewResponseController(s.w).EnableFullDuplex()
}

// boundDelivery bounds the time in which the sender reads the response.
func (s *serverStream) boundDelivery(head *wharfwire.CallHead) {
	timeout := wharfwire.Duration(head.GetTimeoutMs())
	// A writer without deadlines bounds the time itself.
	_ = http.NewResponseController(s.w).SetWriteDeadline(time.Now().Add(timeout + wharfsocket.DeliveryGrace))
}

// Send writes a frame. A frame that is the complete response is sent with a
// Content-Length, so that it takes one write.
func (s *serverStream) Send(f *wharfwire.AnswerFrame) error {
	b := buffers.Get().(*bytes.Buffer)
	defer freeBuffer(b)
	if err := encode(b, f); err != nil {
		return err
	}
	last := f.GetEnd() != nil
	if last && !s.wrote {
		s.w.Header().Set("Content-Length", strconv.Itoa(b.Len()))
	}
	if !s.wrote {
		s.w.Header().Set("Content-Type", "application/octet-stream")
		if s.closeConnection != nil && s.closeConnection() {
			s.w.Header().Set("Connection", "close")
		}
	}
	s.wrote = true
	if _, err := s.w.Write(b.Bytes()); err != nil {
		return err
	}
	if last {
		return nil
	}
	return http.NewResponseController(s.w).Flush()
}

// abort ends the response early and sends the reason.
func (s *serverStream) abort(aborted *AbortedError) {
	if s.Send(&wharfwire.AnswerFrame{Broken: string(aborted.Reason)}) != nil {
		s.cut()
	}
}

// end closes a body of several frames of which a part is unread. If net/http reached its end only
// after the handler, it would read the next request twice at once and panic. The sender ends its
// body once it has the response.
func (s *serverStream) end() {
	if s.readLater && !s.ended.Load() {
		_ = http.NewResponseController(s.w).Flush()
		_ = s.r.Body.Close()
	}
}

// cut ends the connection. Without the deadline, net/http first reads on in the body of the
// request, which may last as long as the call of the sender.
func (s *serverStream) cut() {
	_ = http.NewResponseController(s.w).SetReadDeadline(time.Now())
	panic(http.ErrAbortHandler)
}
