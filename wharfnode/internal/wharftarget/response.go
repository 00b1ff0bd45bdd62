package wharftarget

import (
	"context"
	"errors"
	"io"
	"net/http"

	"ragwortwharf.dev/wharf/wharfadmission"
	"ragwortwharf.dev/wharf/wharfidempotency"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/internal/wharftransport"
)

// errBodyTruncated is returned for a body that is shorter than its Content-Length, or of which that
// can't be ruled out.
var errBodyTruncated = errors.New("response body is shorter than its Content-Length or its end isn't known")

// abortedError returns the error that ends a call whose response could not be sent
// completely. The sender gets the reason and treats the response as incomplete.
func abortedError(reason wharfoutcome.Reason) error {
	return &wharftransport.AbortedError{Reason: reason}
}

// sendComplete sends a complete response as one frame.
func (s *Server) sendComplete(c *call, head *wharfwire.AnswerHead, body []byte) error {
	var sum wharfwire.BodySum
	sum.Add(body)
	return c.stream.Send(&wharfwire.AnswerFrame{Head: head, Chunk: body, End: responseEnd(&sum, c.attemptsLeft())})
}

// responseHead returns the head of the response to a call, with the outcome and the
// load of the target.
func (s *Server) responseHead(c *call, o wharfoutcome.Outcome) *wharfwire.AnswerHead {
	head := &wharfwire.AnswerHead{
		AttemptId:    c.head.GetAttemptId(),
		Outcome:      uint32(o.Kind),
		Reason:       string(o.Reason),
		RetryAfterMs: o.RetryAfter.Milliseconds(),
		Retried:      c.downstream.Retried,
		Arrived:      c.arrived,
	}
	if c.target != nil {
		head.Load = c.target.load(s, c)
	}
	return head
}

func responseEnd(sum *wharfwire.BodySum, attemptsLeft int) *wharfwire.AnswerEnd {
	return &wharfwire.AnswerEnd{Body: sum.End(), AttemptsLeft: uint32(attemptsLeft)}
}

// attemptsLeft returns the number of attempts that the call did not use.
func (c *call) attemptsLeft() int {
	if c.dispatched {
		return c.downstream.Grant.Left()
	}
	return int(c.head.GetAttempts())
}

// sendStored sends the stored response of an earlier send in response to a resend.
func (s *Server) sendStored(c *call, head *wharfwire.AnswerHead) error {
	head.Status = int32(c.replay.Status)
	head.ContentLength = int64(len(c.replay.Body))
	if c.head.GetMethod() == http.MethodHead {
		head.ContentLength = -1
	}
	head.Headers = wharfwire.PackHeaders(unpackHeaders(c.replay.Headers))
	return s.sendComplete(c, head, c.replay.Body)
}

// relay sends the response of the target to the sender while it arrives. It returns
// true even if the response was truncated; c.err holds the error then.
func (s *Server) relay(c *call, ctx context.Context, response *http.Response, result *wharfadmission.Result) (wharfoutcome.Outcome, bool) {
	c.downstream, _ = s.Ledger.Get(c.grant)
	head := s.responseHead(c, wharfoutcome.Done())
	head.Status = int32(response.StatusCode)
	head.Headers = wharfwire.PackHeaders(response.Header)
	head.ContentLength = response.ContentLength
	stored := storedResponse{response: wharfidempotency.Response{Status: response.StatusCode}}
	if c.keyed {
		stored.response.Headers = packHeaders(response.Header)
	}
	p := pipe{call: c, stored: &stored, next: wharfwire.AnswerFrame{Head: head}}
	readErr := p.copy(response)
	s.closeGrant(c)
	if readErr != nil {
		o := s.truncationOutcome(c, ctx, p.err != nil)
		*result = resultOf(ctx, o)
		s.finishKey(c, o, nil)
		s.Metrics.Dispatch(c.head.GetClass(), o)
		c.err = abortedError(o.Reason)
		return wharfoutcome.Outcome{}, true
	}
	*result = wharfadmission.Responded
	if c.refused && !c.target.refusing() || isShed(response.StatusCode) && !c.downstream.DownstreamRefused {
		*result = wharfadmission.Shed
	}
	stored.response.Complete = !stored.tooLarge
	s.finishKey(c, wharfoutcome.Done(), &stored.response)
	s.Backpressure.RecordEnded(c.head.GetRoute())
	if wharfoutcome.RanToEnd(response.StatusCode) {
		s.recordSuccess(c)
		c.target.recordServiceTime(c)
	}
	s.Metrics.Dispatch(c.head.GetClass(), wharfoutcome.Done())
	p.next.End = responseEnd(&p.sum, c.attemptsLeft())
	p.flush()
	c.err = p.err
	return wharfoutcome.Outcome{}, true
}

// isShed reports whether an HTTP status means that the target is overloaded.
func isShed(code int) bool {
	return code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests
}

// pipe copies a response to the sender. If the sender disconnects during a keyed call,
// the pipe continues to read the response so that it can be stored.
type pipe struct {
	call   *call
	sum    wharfwire.BodySum
	stored *storedResponse
	// next is the frame that flush sends.
	next wharfwire.AnswerFrame
	// err is the first error of a send. Nothing is sent after it.
	err error
}

// flush sends the next frame and begins a new one.
func (p *pipe) flush() {
	if p.err == nil {
		p.err = p.call.stream.Send(&p.next)
	}
	p.next = wharfwire.AnswerFrame{}
}

// copy reads the body of a response and sends all frames but the last, which stays in
// next. A body of known length up to ChunkSize is not sent in parts: it stays in
// next, together with the head.
func (p *pipe) copy(response *http.Response) error {
	if response.Body == http.NoBody {
		// The Content-Length of a response to HEAD is that of a body that doesn't follow.
		return nil
	}
	if response.ContentLength >= 0 && response.ContentLength <= wharfwire.ChunkSize {
		return p.copyShort(response.Body, response.ContentLength)
	}
	p.flush()
	for {
		chunk := make([]byte, wharfwire.ChunkSize)
		n, err := io.ReadAtLeast(response.Body, chunk, 1)
		p.addChunk(chunk[:n])
		if errors.Is(err, io.EOF) {
			return p.checkEnd(response)
		}
		if err != nil {
			return err
		}
		p.flush()
		if p.err != nil && !p.call.keyed {
			return p.err
		}
	}
}

// checkEnd returns an error if the end of a body may be due to a reset of the connection: the body
// has no length and isn't in chunks, so that the end of the connection ends it, and the request wasn't
// all sent. The system reports a reset only once, and to a write if one is in progress. A read then
// gets the end of the connection.
func (p *pipe) checkEnd(response *http.Response) error {
	if response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || p.call.conn.sentAll(p.call.body) {
		return nil
	}
	return errBodyTruncated
}

// copyShort reads a body of a known length into the next frame. It returns an error
// if the body is shorter.
func (p *pipe) copyShort(body io.Reader, length int64) error {
	chunk := make([]byte, length)
	if _, err := io.ReadFull(body, chunk); err != nil {
		return errBodyTruncated
	}
	p.addChunk(chunk)
	return nil
}

// addChunk puts a chunk of the body into the next frame.
func (p *pipe) addChunk(chunk []byte) {
	if len(chunk) == 0 {
		return
	}
	p.sum.Add(chunk)
	if p.call.keyed {
		p.stored.add(chunk)
	}
	p.next.Chunk = chunk
}
