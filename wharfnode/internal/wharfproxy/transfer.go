package wharfproxy

import (
	"context"
	"errors"
	"io"
	"net/http"

	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfrouting"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/internal/wharfliveness"
	"ragwortwharf.dev/wharfnode/internal/wharftransport"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

// transfer is one attempt under way.
type transfer struct {
	entry  *Proxy
	call   *call
	target wharfrouting.Target
	stream wharftransport.Exchange
	head   *wharfwire.CallHead
	// ctx is that of the stream, and monitored tells whether the node answers.
	ctx       context.Context
	monitored *wharfliveness.Call
	sum       wharfwire.BodySum
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
		x.monitored.RecordResponse()
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
