package wharfentry

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"ragwortwharf.dev/wharf/wharfadmission"
	"ragwortwharf.dev/wharf/wharfhome"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfrouting"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/internal/wharfevents"
	"ragwortwharf.dev/wharfnode/internal/wharftarget"
)

// callClient is the sending side of a call.
type callClient = grpc.BidiStreamingClient[wharfwire.CallFrame, wharfwire.AnswerFrame]

// attemptResult is what one attempt showed.
type attemptResult struct {
	outcome wharfoutcome.Outcome
	// answered says that the caller has got the answer.
	answered bool
	// sent says that the node may have received the attempt.
	sent bool
	// lost says that the node took the attempt and its answer didn't come.
	lost         bool
	retried      bool
	attemptsLeft int
	routing      wharfrouting.Result
	latency      time.Duration
	report       *wharfrouting.Report
}

// attempt sends a request to one target and passes its answer on.
func (e *Entry) attempt(c *call, target wharfrouting.Target, attempts int) attemptResult {
	started := time.Now()
	result := e.exchange(c, target, attempts)
	result.latency = time.Since(started)
	return result
}

func (e *Entry) exchange(c *call, target wharfrouting.Target, attempts int) attemptResult {
	if err := e.Peers.Ready(c.ctx, target.NodeAddress); err != nil {
		if c.ctx.Err() != nil {
			return notSent(e.cause(c), wharfrouting.Withdrawn)
		}
		return notSent(wharfoutcome.ReasonUnreachable, wharfrouting.Unreachable)
	}
	client, err := e.Peers.Client(target.NodeAddress)
	if err != nil {
		return notSent(wharfoutcome.ReasonUnreachable, wharfrouting.Unreachable)
	}
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	stream, err := client.Call(ctx)
	if err != nil {
		return notSent(wharfoutcome.ReasonUnreachable, wharfrouting.Unreachable)
	}
	x := &transfer{entry: e, call: c, target: target, stream: stream, head: e.head(c, target, attempts)}
	if err := x.begin(); err != nil {
		return x.broken(err)
	}
	return x.receive()
}

// notSent is the result of an attempt that never left this node.
func notSent(reason wharfoutcome.Reason, routing wharfrouting.Result) attemptResult {
	return attemptResult{outcome: wharfoutcome.Refuse(reason), routing: routing}
}

// cause says why the context of a request ended.
func (e *Entry) cause(c *call) wharfoutcome.Reason {
	if time.Now().Before(c.deadline) {
		return wharfoutcome.ReasonCancelled
	}
	return wharfoutcome.ReasonDeadline
}

func (e *Entry) head(c *call, target wharfrouting.Target, attempts int) *wharfwire.CallHead {
	return &wharfwire.CallHead{
		AttemptId:     rand.Uint64(),
		RequestId:     c.requestID,
		Service:       c.service,
		Target:        target.Address,
		Method:        c.r.Method,
		Uri:           c.r.URL.RequestURI(),
		Headers:       wharfwire.PackHeaders(c.r.Header),
		Class:         c.policy.Class.Name,
		Rank:          uint32(c.policy.Class.Rank),
		Depth:         uint32(c.depth),
		Idempotent:    c.policy.Idempotent,
		TimeoutMs:     max(time.Until(c.deadline).Milliseconds(), 0),
		Attempts:      uint32(attempts),
		Caller:        c.caller,
		Key:           c.key,
		KeyMinted:     c.key == "",
		Fingerprint:   uint64(c.fingerprint),
		ContentLength: c.body.length,
		StateOffset:   e.View.State().Offset(),
		Streams:       c.body.rest != nil,
		Priority:      uint32(c.priority),
	}
}

// transfer is one attempt under way.
type transfer struct {
	entry  *Entry
	call   *call
	target wharfrouting.Target
	stream callClient
	head   *wharfwire.CallHead
	sum    wharfwire.BodySum
	// upload ends when the rest of a long body was sent.
	upload *upload
}

// begin sends the head and the part of the body that is kept.
func (x *transfer) begin() error {
	frame := &wharfwire.CallFrame{Head: x.head}
	rest := x.call.body.prefix
	for {
		n := min(len(rest), wharfwire.ChunkSize)
		frame.Chunk = rest[:n]
		x.sum.Add(frame.GetChunk())
		rest = rest[n:]
		if len(rest) == 0 && x.call.body.rest == nil {
			frame.End = x.sum.End()
		}
		if err := x.stream.Send(frame); err != nil {
			return err
		}
		if len(rest) == 0 {
			return x.closeShort()
		}
		frame = &wharfwire.CallFrame{}
	}
}

// closeShort ends the sending side if nothing more of the body comes.
func (x *transfer) closeShort() error {
	if x.call.body.rest != nil {
		return nil
	}
	return x.stream.CloseSend()
}

func (x *transfer) sendChunk(p []byte) error {
	x.sum.Add(p)
	return x.stream.Send(&wharfwire.CallFrame{Chunk: p})
}

func (x *transfer) sendEnd() error {
	if err := x.stream.Send(&wharfwire.CallFrame{End: x.sum.End()}); err != nil {
		return err
	}
	return x.stream.CloseSend()
}

// receive takes the frames of the answer.
func (x *transfer) receive() attemptResult {
	for {
		frame, err := x.stream.Recv()
		if err != nil {
			return x.broken(err)
		}
		if frame.GetAdmitted() != nil {
			x.startUpload()
			continue
		}
		head := frame.GetHead()
		if head == nil || head.GetAttemptId() != x.head.GetAttemptId() {
			x.entry.Log.Emit(wharfevents.LateAnswer, wharfevents.Field{Name: "target", Value: x.target.Address})
			continue
		}
		if wharfoutcome.Kind(head.GetOutcome()) != wharfoutcome.Completed || head.GetReason() != "" {
			return x.refused(frame)
		}
		return x.answer(frame)
	}
}

// startUpload sends the rest of a long body while the answer is awaited.
func (x *transfer) startUpload() {
	if x.call.body.rest == nil || x.upload != nil {
		return
	}
	// Without this the server would read the whole body before it answers.
	_ = http.NewResponseController(x.call.w).EnableFullDuplex()
	x.call.body.restSent = true
	x.upload = &upload{transfer: x}
	go x.upload.run()
}

// upload streams the rest of a body to the node.
type upload struct {
	transfer *transfer
}

// run ends with the body or with the stream of the attempt. When the caller's
// body ends early, the closing frame is left out, so that the target never
// takes the part for the whole.
func (u *upload) run() {
	x := u.transfer
	for {
		chunk := make([]byte, wharfwire.ChunkSize)
		n, err := x.call.body.rest.Read(chunk)
		if n > 0 && x.sendChunk(chunk[:n]) != nil {
			return
		}
		if errors.Is(err, io.EOF) {
			_ = x.sendEnd()
			return
		}
		if err != nil {
			_ = x.stream.CloseSend()
			return
		}
	}
}

// refused is the result of an attempt that ended without an answer.
func (x *transfer) refused(frame *wharfwire.AnswerFrame) attemptResult {
	head := frame.GetHead()
	result := attemptResult{
		sent:    true,
		retried: head.GetRetried(),
		report:  reportOf(head),
		routing: wharfrouting.Refused,
		outcome: wharfoutcome.Outcome{
			Kind:       wharfoutcome.Kind(head.GetOutcome()),
			Reason:     wharfoutcome.Reason(head.GetReason()),
			RetryAfter: time.Duration(head.GetRetryAfterMs()) * time.Millisecond,
		},
	}
	switch result.outcome.Reason {
	case wharfoutcome.ReasonTargetCrashed, wharfoutcome.ReasonUnreachable:
		result.routing = wharfrouting.TargetFailed
	case wharfoutcome.ReasonNoTarget:
		result.routing = wharfrouting.Unreachable
	}
	result.attemptsLeft = int(frame.GetEnd().GetAttemptsLeft())
	return result
}

func reportOf(head *wharfwire.AnswerHead) *wharfrouting.Report {
	l := head.GetLoad()
	if l == nil {
		return nil
	}
	return &wharfrouting.Report{
		Running:    int(l.GetInFlight()),
		Queued:     int(l.GetQueued()),
		Limit:      int(l.GetLimit()),
		LowestRank: int(l.GetLowestRank()),
		Room:       int(l.GetRoom()),
		RouteLevel: wharfadmission.Priority(min(l.GetRouteLevel(), uint32(wharfadmission.LevelOpen))),
		RetryAfter: time.Duration(head.GetRetryAfterMs()) * time.Millisecond,
	}
}

// broken is the result of an attempt whose stream failed. What became of the
// request isn't known, unless the node can be asked.
func (x *transfer) broken(err error) attemptResult {
	result := attemptResult{sent: true, lost: true, routing: wharfrouting.Unreachable}
	c := x.call
	if c.ctx.Err() != nil || status.Code(err) == codes.DeadlineExceeded {
		result.lost = false
		result.routing = wharfrouting.Withdrawn
		result.outcome = wharfoutcome.Uncertain(x.entry.cause(c))
		return result
	}
	if s := status.Convert(err); s.Code() == codes.Aborted {
		return brokenOff(wharfoutcome.Reason(s.Message()))
	}
	result.outcome = wharfoutcome.Uncertain(wharfoutcome.ReasonAnswerLost)
	if !c.policy.Idempotent && c.key == "" {
		result.outcome = x.resolve(result.outcome)
	}
	return result
}

// brokenOff is the result of an attempt whose answer the target's node ended
// early, for a reason.
func brokenOff(reason wharfoutcome.Reason) attemptResult {
	result := attemptResult{sent: true, lost: true, routing: wharfrouting.Withdrawn, outcome: wharfoutcome.Uncertain(reason)}
	if reason == wharfoutcome.ReasonTargetCrashed {
		result.routing = wharfrouting.TargetFailed
	}
	return result
}

// resolveTimeout bounds the question about a lost answer.
const resolveTimeout = 500 * time.Millisecond

// resolve asks the node of a minted key what became of it. If the request has
// not been dispatched there, asking closes the key, and then it has not run.
func (x *transfer) resolve(o wharfoutcome.Outcome) wharfoutcome.Outcome {
	ctx, cancel := context.WithTimeout(x.call.ctx, resolveTimeout)
	defer cancel()
	member, ok := x.entry.View.Member(x.target.Node)
	if !ok {
		return o
	}
	owner := wharfhome.Owner{Node: member.Node, Incarnation: member.Incarnation, Address: member.Address}
	entry, err := x.entry.Consulter.Consult(ctx, owner, wharftarget.MintedKey(x.head.GetAttemptId()))
	if err == nil && entry.State == wharfhome.Absent {
		return wharfoutcome.Refuse(wharfoutcome.ReasonAnswerLost)
	}
	return o
}
