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

// errBodyShort says that a body ended before its announced length.
var errBodyShort = errors.New("body ended early")

// answerBroken ends a call whose answer could not be sent whole. The sender
// sees the call fail with the reason and takes nothing for complete.
func answerBroken(reason wharfoutcome.Reason) error {
	return &wharftransport.AbortedError{Reason: reason}
}

// sendWhole sends an answer that is at hand as one frame.
func (s *Server) sendWhole(c *call, head *wharfwire.AnswerHead, body []byte) error {
	var sum wharfwire.BodySum
	sum.Add(body)
	return c.stream.Send(&wharfwire.AnswerFrame{Head: head, Chunk: body, End: answerEnd(&sum, c.attemptsLeft())})
}

func (s *Server) answerHead(c *call, o wharfoutcome.Outcome) *wharfwire.AnswerHead {
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

func answerEnd(sum *wharfwire.BodySum, attemptsLeft int) *wharfwire.AnswerEnd {
	return &wharfwire.AnswerEnd{Body: sum.End(), AttemptsLeft: uint32(attemptsLeft)}
}

// attemptsLeft returns the attempts that the call did not use.
func (c *call) attemptsLeft() int {
	if c.dispatched {
		return c.downstream.Grant.Left()
	}
	return int(c.head.GetAttempts())
}

// sendStored answers a resend with the answer of the first send.
func (s *Server) sendStored(c *call, head *wharfwire.AnswerHead) error {
	head.Status = int32(c.replay.Status)
	head.ContentLength = int64(len(c.replay.Body))
	head.Headers = PackResponse(c.replay).GetHeaders()
	return s.sendWhole(c, head, c.replay.Body)
}

// relay passes the answer of the target on while it comes in.
func (s *Server) relay(c *call, ctx context.Context, response *http.Response, result *wharfadmission.Result) (wharfoutcome.Outcome, bool) {
	c.downstream, _ = s.Ledger.Get(c.grant)
	head := s.answerHead(c, wharfoutcome.Done())
	head.Status = int32(response.StatusCode)
	head.Headers = wharfwire.PackHeaders(response.Header)
	head.ContentLength = response.ContentLength
	kept := storedResponse{answer: wharfidempotency.Response{Status: response.StatusCode}}
	if c.keyed {
		kept.answer.Headers = unpackHeaders(head.GetHeaders())
	}
	p := pipe{call: c, kept: &kept, next: wharfwire.AnswerFrame{Head: head}}
	readErr := p.copy(response)
	s.settle(c)
	if readErr != nil {
		o := s.brokeOff(c, ctx, p.err != nil)
		*result = resultOf(ctx, o)
		s.finishKey(c, o, nil)
		s.Metrics.Dispatch(c.head.GetClass(), o)
		c.err = answerBroken(o.Reason)
		return wharfoutcome.Outcome{}, true
	}
	*result = wharfadmission.Answered
	if isShed(response.StatusCode) && !c.downstream.DownstreamRefused {
		*result = wharfadmission.Shed
	}
	kept.answer.Complete = !kept.over
	s.finishKey(c, wharfoutcome.Done(), &kept.answer)
	s.recordSuccess(c)
	s.Metrics.Dispatch(c.head.GetClass(), wharfoutcome.Done())
	p.next.End = answerEnd(&p.sum, c.attemptsLeft())
	p.flush()
	c.err = p.err
	return wharfoutcome.Outcome{}, true
}

// isShed reports whether a status says that the target is overloaded.
func isShed(code int) bool {
	return code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests
}

// pipe copies an answer to the sender. When the sender is lost, a keyed call
// reads on so that the answer can be kept.
type pipe struct {
	call *call
	sum  wharfwire.BodySum
	kept *storedResponse
	// next is the frame that is sent next.
	next wharfwire.AnswerFrame
	err  error
}

// flush sends the next frame.
func (p *pipe) flush() {
	if p.err == nil {
		p.err = p.call.stream.Send(&p.next)
	}
	p.next = wharfwire.AnswerFrame{}
}

// copy reads the body of an answer and sends it, but for the last frame. A
// short answer is not sent in parts.
func (p *pipe) copy(response *http.Response) error {
	if response.ContentLength >= 0 && response.ContentLength <= wharfwire.ChunkSize {
		return p.copyShort(response.Body, response.ContentLength)
	}
	p.flush()
	for {
		chunk := make([]byte, wharfwire.ChunkSize)
		n, err := io.ReadAtLeast(response.Body, chunk, 1)
		p.hold(chunk[:n])
		if errors.Is(err, io.EOF) {
			return nil
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

// copyShort reads a body of a known length. It fails if the body ends early.
func (p *pipe) copyShort(body io.Reader, length int64) error {
	chunk := make([]byte, length)
	if _, err := io.ReadFull(body, chunk); err != nil {
		return errBodyShort
	}
	p.hold(chunk)
	return nil
}

// hold takes a chunk into the next frame.
func (p *pipe) hold(chunk []byte) {
	if len(chunk) == 0 {
		return
	}
	p.sum.Add(chunk)
	if p.call.keyed {
		p.kept.add(chunk)
	}
	p.next.Chunk = chunk
}
