package wharfproxy

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"time"

	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfrouting"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/internal/wharftransport"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

// maxBufferedResponse is the size up to which an answer is held back until it is known
// to be whole, in bytes. A longer one is streamed, and cut off so that the
// caller notices if it doesn't come whole.
const maxBufferedResponse = 256 << 10

var errSumMismatch = errors.New("length or checksum of the answer differ")

// answer takes the body of an answer and passes it on.
func (x *transfer) answer(frame *wharfwire.AnswerFrame) attemptResult {
	head := frame.GetHead()
	result := attemptResult{
		sent: true, outcome: wharfoutcome.Done(),
		routing: wharfrouting.Answered, report: reportOf(head),
	}
	if head.GetStatus() >= http.StatusInternalServerError {
		// Such an answer comes quicker than a good one, and must not draw work.
		result.routing = wharfrouting.ResponseLost
	}
	held := answerBody{stream: x.stream}
	for end, err := held.take(frame); ; end, err = held.next() {
		if err != nil {
			return x.brokenAnswer(err, head)
		}
		if end != nil {
			result.attemptsLeft = int(end.GetAttemptsLeft())
			x.writeHead(head, int64(held.Len()))
			_, _ = x.call.w.Write(held.Bytes())
			return x.delivered(result, int(head.GetStatus()))
		}
		if held.Len() > maxBufferedResponse {
			break
		}
	}
	x.writeHead(head, head.GetContentLength())
	if !x.streamOn(&held, &result) {
		x.entry.Log.Emit(wharfevents.AnswerIncomplete, wharfevents.Field{Name: "target", Value: x.target.Address})
		// The caller has a part already: breaking the connection off is the
		// only way to tell it.
		panic(http.ErrAbortHandler)
	}
	return x.delivered(result, int(head.GetStatus()))
}

// answerBody collects the body of an answer from its frames.
type answerBody struct {
	bytes.Buffer
	stream wharftransport.Exchange
	sum    wharfwire.BodySum
}

// next takes the next frame. The end is only returned if the body is whole.
func (b *answerBody) next() (*wharfwire.AnswerEnd, error) {
	frame, err := b.stream.Recv()
	if err != nil {
		return nil, err
	}
	return b.take(frame)
}

func (b *answerBody) take(frame *wharfwire.AnswerFrame) (*wharfwire.AnswerEnd, error) {
	b.sum.Add(frame.GetChunk())
	_, _ = b.Write(frame.GetChunk())
	end := frame.GetEnd()
	if end != nil && !b.sum.Matches(end.GetBody()) {
		return nil, errSumMismatch
	}
	return end, nil
}

// brokenAnswer is the result of an answer that ended before the caller got any
// of it.
func (x *transfer) brokenAnswer(err error, head *wharfwire.AnswerHead) attemptResult {
	x.entry.Log.Emit(wharfevents.AnswerIncomplete,
		wharfevents.Field{Name: "target", Value: x.target.Address},
		wharfevents.ErrorField(err))
	result := x.broken(err)
	result.report = reportOf(head)
	if result.outcome.Kind == wharfoutcome.Unknown && result.outcome.Reason == wharfoutcome.ReasonAnswerLost {
		result.outcome.Reason = wharfoutcome.ReasonAnswerIncomplete
	}
	return result
}

// streamOn passes a long answer on and reports whether all of it arrived.
func (x *transfer) streamOn(held *answerBody, result *attemptResult) bool {
	flush := http.NewResponseController(x.call.w)
	for {
		if _, err := held.WriteTo(x.call.w); err != nil {
			return false
		}
		_ = flush.Flush()
		end, err := held.next()
		if err != nil {
			return false
		}
		if end == nil {
			continue
		}
		result.attemptsLeft = int(end.GetAttemptsLeft())
		_, err = held.WriteTo(x.call.w)
		return err == nil
	}
}

func (x *transfer) writeHead(head *wharfwire.AnswerHead, length int64) {
	h := x.call.w.Header()
	wharfwire.UnpackHeaders(h, head.GetHeaders())
	x.entry.Protocol.SetResponseHeaders(h)
	if length >= 0 && bodyAllowed(x.call.r.Method, int(head.GetStatus())) {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	x.call.w.WriteHeader(int(head.GetStatus()))
}

// bodyAllowed reports whether an answer has a body by RFC 9110, so that its
// length may be set from what arrived.
func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status >= http.StatusOK &&
		status != http.StatusNoContent && status != http.StatusNotModified
}

func (x *transfer) delivered(result attemptResult, status int) attemptResult {
	result.answered = true
	c := x.call
	x.entry.Metrics.Call(c.policy.Class.Name, result.outcome, time.Since(c.started))
	x.entry.logServed(c, x.target, status)
	return result
}
