package wharftransport

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"ragwortwharf.dev/wharf/wharfwire"
)

// Handler takes calls over HTTP.
type Handler struct {
	Receiver Receiver
}

// ServeHTTP serves one call.
func (h Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := &serverStream{w: w, r: r, reader: newReader(r.Body)}
	// The reader isn't reused after a call whose body may still be read by
	// another goroutine.
	err := h.Receiver.Call(s)
	if !s.streams {
		freeReader(s.reader)
	}
	if err == nil {
		return
	}
	var broken *AbortedError
	switch {
	case errors.As(err, &broken):
		s.abort(broken)
	case s.wrote:
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// serverStream is a call on its receiving side.
type serverStream struct {
	w      http.ResponseWriter
	r      *http.Request
	reader *bufio.Reader
	// streams says that the body goes on while the answer is sent.
	streams bool
	wrote   bool
}

func (s *serverStream) Context() context.Context {
	return s.r.Context()
}

func (s *serverStream) Recv() (*wharfwire.CallFrame, error) {
	f := new(wharfwire.CallFrame)
	if err := unmarshal.UnmarshalFrom(s.reader, f); err != nil {
		return nil, err
	}
	if f.GetHead().GetStreams() {
		s.streams = true
		// Without this the server would read the whole body before it answers.
		if err := http.NewResponseController(s.w).EnableFullDuplex(); err != nil {
			return nil, err
		}
	}
	if f.GetEnd() != nil && s.streams {
		// The server looks out for a sender that leaves only once it has read
		// the body to its end.
		if _, err := s.reader.ReadByte(); !errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		}
	}
	return f, nil
}

// Send writes a frame. One that is the whole answer is sent with its length, so
// that it takes one write.
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

// abort ends an answer early and says why.
func (s *serverStream) abort(broken *AbortedError) {
	if s.Send(&wharfwire.AnswerFrame{Broken: string(broken.Reason)}) != nil {
		panic(http.ErrAbortHandler)
	}
}
