package wharfproxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"ragwortwharf.dev/wharf/wharfidempotency"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfrouting"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/internal/wharfliveness"
	"ragwortwharf.dev/wharfnode/internal/wharftransport"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

// transfer is one attempt in progress.
type transfer struct {
	proxy  *Proxy
	call   *call
	target wharfrouting.Target
	// owner is the node incarnation that owns the generated key of the attempt. It is zero if the
	// node isn't known or the request may run twice.
	owner  wharfidempotency.Owner
	stream wharftransport.ClientStream
	head   *wharfwire.CallHead
	// ctx is the context of the stream. It ends with the cause
	// wharfliveness.ErrUnresponsive if the node stops responding.
	ctx context.Context
	// monitored records the responses of the node for its monitor.
	monitored *wharfliveness.Call
	// sum is the length and checksum of the body sent so far.
	sum wharfwire.BodySum
	// upload sends the rest of a long body. It is nil until the node admits the
	// request.
	upload *upload
}

// begin sends the head and the buffered prefix of the body.
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
			return x.closeIfBuffered()
		}
		frame = &wharfwire.CallFrame{}
	}
}

// closeIfBuffered closes the sending side if the prefix was the whole body.
func (x *transfer) closeIfBuffered() error {
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

// receive processes the frames of the response. It discards a response to
// another attempt.
func (x *transfer) receive() attemptResult {
	for {
		frame, err := x.stream.Recv()
		if err != nil {
			return x.failedResult(err)
		}
		x.monitored.RecordResponse()
		if frame.GetAdmitted() != nil {
			x.startUpload()
			continue
		}
		head := frame.GetHead()
		if head == nil || head.GetAttemptId() != x.head.GetAttemptId() {
			x.proxy.Log.Emit(wharfevents.LateResponse, wharfevents.Field{Name: "target", Value: x.target.Address})
			continue
		}
		// A completed request has a reason if its response was not stored, so that
		// there is nothing to deliver.
		if wharfoutcome.Kind(head.GetOutcome()) != wharfoutcome.Completed || head.GetReason() != "" {
			return x.refusedResult(frame)
		}
		return x.deliver(frame)
	}
}

// startUpload begins to send the rest of a long body in its own goroutine, while
// receive waits for the response.
func (x *transfer) startUpload() {
	if x.call.body.rest == nil || x.upload != nil {
		return
	}
	// Without full duplex, net/http reads the whole request body before it
	// writes a response.
	_ = http.NewResponseController(x.call.w).EnableFullDuplex()
	x.call.body.restSent = true
	x.upload = &upload{transfer: x, ended: make(chan struct{})}
	x.call.upload = x.upload
	go x.upload.run()
}

// uploadRest is how long the rest of a body is read after the response. A connection that is
// closed before may be reset, and the caller then loses the response.
const uploadRest = 500 * time.Millisecond

// upload streams the rest of a body to the node.
type upload struct {
	transfer *transfer
	// ended is closed once the body isn't read any more.
	ended chan struct{}
}

// running reports whether the body is still read. A nil upload isn't running.
func (u *upload) running() bool {
	if u == nil {
		return false
	}
	select {
	case <-u.ended:
		return false
	default:
		return true
	}
}

// end waits until the body isn't read any more, after the response or instead of it. The server
// must not find another reader when it reads the next request from the connection.
func (u *upload) end(responded bool) {
	if !u.running() {
		return
	}
	c := http.NewResponseController(u.transfer.call.w)
	until := time.Now()
	if responded {
		_ = c.Flush()
		until = until.Add(uploadRest)
	}
	if c.SetReadDeadline(until) == nil {
		<-u.ended
	}
}

// run sends the body until it or the stream of the attempt ends, and reads the rest. If the
// caller's body ends early, the end frame is not sent, so that the target never takes the
// part for the complete body.
func (u *upload) run() {
	defer close(u.ended)
	u.send()
	_, _ = io.Copy(io.Discard, u.transfer.call.body.rest)
}

func (u *upload) send() {
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
