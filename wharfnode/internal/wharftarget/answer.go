package wharftarget

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"ragwortwharf.dev/wharf/wharfadmission"
	"ragwortwharf.dev/wharf/wharfhome"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfwire"
)

// errAnswerBroken ends a call whose answer could not be sent whole. The sender
// sees the call fail and takes nothing for complete.
var errAnswerBroken = status.Error(codes.Aborted, "answer broke off")

// sendOutcome answers a call that has no answer of the target.
func (s *Server) sendOutcome(c *call, o wharfoutcome.Outcome) error {
	head := s.answerHead(c, o)
	if err := c.stream.Send(&wharfwire.AnswerFrame{Frame: &wharfwire.AnswerFrame_Head{Head: head}}); err != nil {
		return err
	}
	return s.sendEnd(c, &wharfwire.BodySum{}, int(c.head.GetAttempts()))
}

func (s *Server) answerHead(c *call, o wharfoutcome.Outcome) *wharfwire.AnswerHead {
	head := &wharfwire.AnswerHead{
		AttemptId:    c.head.GetAttemptId(),
		Outcome:      uint32(o.Kind),
		Reason:       string(o.Reason),
		RetryAfterMs: o.RetryAfter.Milliseconds(),
		Retried:      c.below.Retried,
	}
	if c.target != nil {
		head.Load = c.target.load(c.below.Closed)
	}
	return head
}

func (s *Server) sendEnd(c *call, sum *wharfwire.BodySum, attemptsLeft int) error {
	end := &wharfwire.AnswerEnd{Body: sum.End(), AttemptsLeft: uint32(attemptsLeft)}
	return c.stream.Send(&wharfwire.AnswerFrame{Frame: &wharfwire.AnswerFrame_End{End: end}})
}

// sendKept answers a resend with the answer of the first send.
func (s *Server) sendKept(c *call) error {
	head := s.answerHead(c, wharfoutcome.Done())
	head.Status = int32(c.replay.Status)
	head.ContentLength = int64(len(c.replay.Body))
	head.Headers = PackAnswer(c.replay).GetHeaders()
	if err := c.stream.Send(&wharfwire.AnswerFrame{Frame: &wharfwire.AnswerFrame_Head{Head: head}}); err != nil {
		return err
	}
	var sum wharfwire.BodySum
	sum.Add(c.replay.Body)
	chunk := &wharfwire.AnswerFrame{Frame: &wharfwire.AnswerFrame_Chunk{Chunk: c.replay.Body}}
	if err := c.stream.Send(chunk); err != nil {
		return err
	}
	return s.sendEnd(c, &sum, int(c.head.GetAttempts()))
}

// relay passes the answer of the target on while it comes in.
func (s *Server) relay(c *call, ctx context.Context, response *http.Response, result *wharfadmission.Result) (wharfoutcome.Outcome, bool) {
	c.below, _ = s.Ledger.Get(c.grant)
	head := s.answerHead(c, wharfoutcome.Done())
	head.Status = int32(response.StatusCode)
	head.Headers = wharfwire.PackHeaders(response.Header)
	head.ContentLength = response.ContentLength
	kept := keptAnswer{answer: wharfhome.Answer{Status: response.StatusCode, Headers: UnpackAnswer(&wharfwire.KeptAnswer{Headers: head.GetHeaders()}).Headers}}
	p := pipe{call: c, kept: &kept}
	p.send(&wharfwire.AnswerFrame{Frame: &wharfwire.AnswerFrame_Head{Head: head}})
	readErr := p.copy(response.Body)
	attemptsLeft := s.settle(c)
	if readErr != nil {
		o := s.brokeOff(c, ctx, p.err != nil)
		*result = resultOf(ctx, o)
		s.finishKey(c, o, nil)
		s.Metrics.Dispatch(c.head.GetClass(), o)
		c.err = errAnswerBroken
		return wharfoutcome.Outcome{}, true
	}
	*result = wharfadmission.Answered
	if isShed(response.StatusCode) && !c.below.RefusedBelow {
		*result = wharfadmission.Shed
	}
	kept.answer.Whole = !kept.over
	s.finishKey(c, wharfoutcome.Done(), &kept.answer)
	s.succeeded(c)
	s.Metrics.Dispatch(c.head.GetClass(), wharfoutcome.Done())
	if c.err = p.err; c.err == nil {
		c.err = s.sendEnd(c, &p.sum, attemptsLeft)
	}
	return wharfoutcome.Outcome{}, true
}

// brokeOff decides what an answer that ended early means.
func (s *Server) brokeOff(c *call, ctx context.Context, senderLost bool) wharfoutcome.Outcome {
	switch {
	case !time.Now().Before(c.deadline):
		return wharfoutcome.Uncertain(wharfoutcome.ReasonDeadline)
	case senderLost || ctx.Err() != nil:
		return wharfoutcome.Uncertain(wharfoutcome.ReasonCancelled)
	default:
		s.blame(c)
		return wharfoutcome.Uncertain(wharfoutcome.ReasonTargetCrashed)
	}
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
	kept *keptAnswer
	err  error
}

func (p *pipe) send(frame *wharfwire.AnswerFrame) {
	if p.err == nil {
		p.err = p.call.stream.Send(frame)
	}
}

func (p *pipe) copy(body io.Reader) error {
	for {
		chunk := make([]byte, wharfwire.ChunkSize)
		n, err := io.ReadAtLeast(body, chunk, 1)
		if n > 0 {
			p.sum.Add(chunk[:n])
			if p.call.keyed {
				p.kept.add(chunk[:n])
			}
			p.send(&wharfwire.AnswerFrame{Frame: &wharfwire.AnswerFrame_Chunk{Chunk: chunk[:n]}})
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if p.err != nil && !p.call.keyed {
			return p.err
		}
	}
}
