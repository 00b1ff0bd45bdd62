package wharfproxy

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"time"

	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfrouting"
	"ragwortwharf.dev/wharf/wharfsocket"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/internal/wharftransport"
	"ragwortwharf.dev/wharfnode/wharfevents"
	"ragwortwharf.dev/wharfnode/wharfprotocol"
)

// maxBufferedResponse is the size up to which a response is buffered until it is
// known to be complete, in bytes. A longer response is streamed. If it is
// truncated, the connection to the caller is aborted, so that the caller
// notices.
const maxBufferedResponse = 256 << 10

var (
	errSumMismatch = errors.New("length or checksum of the response does not match")
	errStatus      = errors.New("status of the response is none of a final response")
)

// deliver receives the body of a response and forwards it to the caller.
func (x *transfer) deliver(frame *wharfwire.AnswerFrame) attemptResult {
	head := frame.GetHead()
	result := attemptResult{
		sent: true, outcome: wharfoutcome.Done(),
		routing: wharfrouting.Responded, report: loadReport(head),
	}
	if head.GetStatus() >= http.StatusInternalServerError {
		// An error response arrives faster than a successful one. Its low
		// latency must not attract requests to the target. For ResponseLost the
		// balancer ignores the latency and raises the cost of the target.
		result.routing = wharfrouting.ResponseLost
	}
	buffered := responseBody{stream: x.stream}
	for end, err := buffered.addFrame(frame); ; end, err = buffered.next() {
		if err != nil {
			return x.truncatedResult(err, head)
		}
		x.call.memory.holdResponse(int64(buffered.Cap()))
		if end != nil {
			result.attemptsLeft = int(end.GetAttemptsLeft())
			if err := x.writeHead(head, int64(buffered.Len())); err != nil {
				return x.truncatedResult(err, head)
			}
			_, _ = x.call.w.Write(buffered.Bytes())
			return x.recordDelivered(result, int(head.GetStatus()))
		}
		if buffered.Len() > maxBufferedResponse {
			break
		}
	}
	if err := x.writeHead(head, head.GetContentLength()); err != nil {
		return x.truncatedResult(err, head)
	}
	if !x.streamRest(&buffered, &result) {
		x.proxy.Log.Emit(wharfevents.ResponseIncomplete, wharfevents.Field{Name: "target", Value: x.target.Address})
		// The caller already has a part of the response. Aborting the connection
		// is the only way to signal that the rest is missing.
		x.call.aborted = true
		panic(http.ErrAbortHandler)
	}
	return x.recordDelivered(result, int(head.GetStatus()))
}

// responseBody collects the body of a response from its frames.
type responseBody struct {
	bytes.Buffer
	stream wharftransport.ClientStream
	sum    wharfwire.BodySum
}

// next receives a frame and adds it.
func (b *responseBody) next() (*wharfwire.AnswerEnd, error) {
	frame, err := b.stream.Recv()
	if err != nil {
		return nil, err
	}
	return b.addFrame(frame)
}

// addFrame adds a frame to the body. It returns the end of the response only if
// the length and the checksum of the body match, and errSumMismatch if they
// don't.
func (b *responseBody) addFrame(frame *wharfwire.AnswerFrame) (*wharfwire.AnswerEnd, error) {
	b.sum.Add(frame.GetChunk())
	_, _ = b.Write(frame.GetChunk())
	end := frame.GetEnd()
	if end != nil && !b.sum.Matches(end.GetBody()) {
		return nil, errSumMismatch
	}
	return end, nil
}

// truncatedResult returns the result of an attempt whose response was truncated
// before the caller received any of it.
func (x *transfer) truncatedResult(err error, head *wharfwire.AnswerHead) attemptResult {
	x.proxy.Log.Emit(wharfevents.ResponseIncomplete,
		wharfevents.Field{Name: "target", Value: x.target.Address},
		wharfevents.ErrorField(err))
	result := x.failedResult(err)
	result.report = loadReport(head)
	if result.outcome.Kind == wharfoutcome.Unknown && result.outcome.Reason == wharfoutcome.ReasonResponseLost {
		result.outcome.Reason = wharfoutcome.ReasonResponseIncomplete
	}
	return result
}

// streamRest forwards the rest of a long response and reports whether all of it
// was delivered.
func (x *transfer) streamRest(buffered *responseBody, result *attemptResult) bool {
	flush := http.NewResponseController(x.call.w)
	for {
		if _, err := buffered.WriteTo(x.call.w); err != nil {
			return false
		}
		// The caller may read slowly, and the buffer has grown to maxBufferedResponse.
		buffered.Buffer = bytes.Buffer{}
		x.call.memory.holdResponse(wharfwire.ChunkSize)
		_ = flush.Flush()
		end, err := buffered.next()
		if err != nil {
			return false
		}
		if end == nil {
			continue
		}
		result.attemptsLeft = int(end.GetAttemptsLeft())
		_, err = buffered.WriteTo(x.call.w)
		return err == nil
	}
}

// writeHead sends the status and the headers of the response to the caller. A
// negative length is unknown. If the status or a header is malformed it sends nothing and returns
// an error.
func (x *transfer) writeHead(head *wharfwire.AnswerHead, length int64) error {
	if head.GetStatus() < http.StatusOK || head.GetStatus() > wharfprotocol.MaxStatus {
		return errStatus
	}
	h := x.call.w.Header()
	if err := wharfwire.UnpackHeaders(h, head.GetHeaders()); err != nil {
		clear(h)
		return err
	}
	x.proxy.Protocol.SetResponseHeaders(h)
	x.call.boundDelivery()
	x.call.closeDuringUpload()
	if x.call.r.Method == http.MethodHead {
		length = head.GetContentLength()
	}
	if length >= 0 && bodyAllowed(int(head.GetStatus())) {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	x.call.w.WriteHeader(int(head.GetStatus()))
	return nil
}

// boundDelivery bounds the time in which the caller reads the response.
func (c *call) boundDelivery() {
	end := c.deadline
	if now := time.Now(); end.Before(now) {
		end = now
	}
	// A writer without deadlines bounds the time itself.
	_ = http.NewResponseController(c.w).SetWriteDeadline(end.Add(wharfsocket.DeliveryGrace))
}

// bodyAllowed reports whether RFC 9110 allows a body in responses with a status, so that
// Content-Length may be set from the length that was received.
func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// recordDelivered counts and logs a delivered response and marks the result as
// delivered.
func (x *transfer) recordDelivered(result attemptResult, status int) attemptResult {
	result.delivered, result.status = true, status
	c := x.call
	x.proxy.Metrics.Call(c.policy.Class.Name, result.outcome, time.Since(c.started))
	x.proxy.logServed(c, x.target, status)
	return result
}
