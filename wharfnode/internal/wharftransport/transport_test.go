package wharftransport

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfsocket"
	"ragwortwharf.dev/wharf/wharfwire"
)

// breakingListener keeps its connections, so that a test can close them while
// calls are in progress.
type breakingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (l *breakingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.conns = append(l.conns, c)
	}
	return c, err
}

func (l *breakingListener) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
	l.conns = nil
}

// scriptedReceiver serves calls with a function and counts them.
type scriptedReceiver struct {
	arrivals atomic.Int32
	serve    func(s ServerStream, first *wharfwire.CallFrame) error
}

func (r *scriptedReceiver) Call(s ServerStream) error {
	f, err := s.Recv()
	if err != nil {
		return err
	}
	r.arrivals.Add(1)
	return r.serve(s, f)
}

// startNode starts an HTTP server for the receiver and returns its listener and
// address.
func startNode(t *testing.T, r Receiver) (*breakingListener, string) {
	t.Helper()
	return startHandler(t, Handler{Receiver: r})
}

// startHandler starts an HTTP server for the handler and returns its listener and address.
func startHandler(t *testing.T, h Handler) (*breakingListener, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	breaking := &breakingListener{Listener: l}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(breaking) }()
	t.Cleanup(func() { _ = server.Close() })
	return breaking, l.Addr().String()
}

// sendComplete sends a complete response in one frame.
func sendComplete(s ServerStream, f *wharfwire.CallFrame) error {
	return s.Send(&wharfwire.AnswerFrame{
		Head: &wharfwire.AnswerHead{AttemptId: f.GetHead().GetAttemptId()}, End: &wharfwire.AnswerEnd{},
	})
}

// call makes a call that fits in one frame and returns the first frame of the
// response.
func call(c *Client, address string) (*wharfwire.AnswerFrame, error) {
	x := c.Open(context.Background(), address)
	if err := x.Send(&wharfwire.CallFrame{Head: &wharfwire.CallHead{AttemptId: 7}, End: &wharfwire.BodyEnd{}}); err != nil {
		return nil, err
	}
	if err := x.CloseSend(); err != nil {
		return nil, err
	}
	return x.Recv()
}

// TestCallIsNotResentOnBrokenConnection guards against a call that runs twice
// because the HTTP transport resends it. The transport may do so when a reused
// connection breaks after the node has read the call.
func TestCallIsNotResentOnBrokenConnection(t *testing.T) {
	is := is.New(t)
	var broken atomic.Bool
	var listener *breakingListener
	r := &scriptedReceiver{}
	r.serve = func(s ServerStream, f *wharfwire.CallFrame) error {
		if broken.Load() {
			listener.closeAll()
			return nil
		}
		return sendComplete(s, f)
	}
	listener, address := startNode(t, r)
	var c Client
	defer c.Close()
	_, err := call(&c, address)
	is.NoErr(err)
	broken.Store(true)
	_, err = call(&c, address)
	is.True(err != nil)
	is.Equal(r.arrivals.Load(), int32(2))
	broken.Store(false)
	// A call fails without arriving if the HTTP transport uses a connection that was
	// closed earlier, so repeat the call until it succeeds.
	for err != nil {
		_, err = call(&c, address)
		is.True(r.arrivals.Load() <= 3)
	}
	is.Equal(r.arrivals.Load(), int32(3)) // no call was resent
}

// TestSentIsFalseWithoutConnection guards against a call that reports Sent
// although no connection was made, because nothing listens on the address. The
// proxy would then assume that the request may have run.
func TestSentIsFalseWithoutConnection(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	var c Client
	x := c.Open(context.Background(), address)
	is.NoErr(x.Send(&wharfwire.CallFrame{Head: &wharfwire.CallHead{}, End: &wharfwire.BodyEnd{}}))
	is.NoErr(x.CloseSend())
	_, err = x.Recv()
	is.True(err != nil)
	is.True(!x.Sent())
}

// TestCalls makes short, streamed and aborted calls over the network, also if the node closes each
// connection after its response, and within the process. All ways must give the same frames and
// errors.
func TestCalls(t *testing.T) {
	upload := func(s ServerStream, f *wharfwire.CallFrame) error {
		if err := s.Send(&wharfwire.AnswerFrame{Admitted: &wharfwire.Admitted{AttemptId: 7}}); err != nil {
			return err
		}
		size := len(f.GetChunk())
		for f.GetEnd() == nil {
			var err error
			if f, err = s.Recv(); err != nil {
				return err
			}
			size += len(f.GetChunk())
		}
		return s.Send(&wharfwire.AnswerFrame{
			Head: &wharfwire.AnswerHead{AttemptId: 7, ContentLength: int64(size)}, End: &wharfwire.AnswerEnd{},
		})
	}
	abortBeforeHead := func(s ServerStream, _ *wharfwire.CallFrame) error {
		return &AbortedError{wharfoutcome.ReasonTargetCrashed}
	}
	abortAfterHead := func(s ServerStream, _ *wharfwire.CallFrame) error {
		_ = s.Send(&wharfwire.AnswerFrame{Head: &wharfwire.AnswerHead{AttemptId: 7}})
		return &AbortedError{wharfoutcome.ReasonTargetCrashed}
	}
	tests := []struct {
		name     string
		serve    func(ServerStream, *wharfwire.CallFrame) error
		streamed bool
		length   int64
		aborted  bool
	}{
		{"short", sendComplete, false, 0, false},
		{"upload", upload, true, 3 * 1000, false},
		{"aborted before head", abortBeforeHead, false, 0, true},
		{"aborted after head", abortAfterHead, false, 0, true},
	}
	for _, tc := range tests {
		for _, path := range []string{"network", "closing network", "process"} {
			t.Run(tc.name+" via "+path, func(t *testing.T) {
				is := is.New(t)
				r := &scriptedReceiver{serve: tc.serve}
				_, address := startHandler(t, Handler{Receiver: r, CloseConnection: func() bool { return path == "closing network" }})
				c := &Client{}
				t.Cleanup(c.Close)
				if path == "process" {
					c = &Client{SelfAddress: address, Receiver: r}
				}
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				x := c.Open(ctx, address)
				first := &wharfwire.CallFrame{Head: &wharfwire.CallHead{AttemptId: 7, Streams: tc.streamed}, Chunk: make([]byte, 1000)}
				if !tc.streamed {
					first.End = &wharfwire.BodyEnd{}
				}
				is.NoErr(x.Send(first))
				if !tc.streamed {
					is.NoErr(x.CloseSend())
				}
				f, err := x.Recv()
				if tc.streamed {
					is.NoErr(err)
					is.True(f.GetAdmitted() != nil)
					is.NoErr(x.Send(&wharfwire.CallFrame{Chunk: make([]byte, 1000)}))
					is.NoErr(x.Send(&wharfwire.CallFrame{Chunk: make([]byte, 1000), End: &wharfwire.BodyEnd{}}))
					is.NoErr(x.CloseSend())
					f, err = x.Recv()
				}
				for err == nil && f.GetEnd() == nil {
					f, err = x.Recv()
				}
				var abortErr *AbortedError
				if tc.aborted {
					is.True(err != nil)
					is.True(errors.As(err, &abortErr))
					is.Equal(abortErr.Reason, wharfoutcome.ReasonTargetCrashed)
					return
				}
				is.NoErr(err)
				is.Equal(f.GetHead().GetContentLength(), tc.length)
			})
		}
	}
}

// TestSendEndsWithCall guards against a call with a streamed body that never ends after the
// connection was lost before the response, and against a sender of the body that waits without
// end, and keeps its buffers, after the call has ended before the node has read the body.
func TestSendEndsWithCall(t *testing.T) {
	const bound = 5 * time.Second
	var listener *breakingListener
	tests := []struct {
		name  string
		serve func(s ServerStream, first *wharfwire.CallFrame) error
	}{
		{"early response", sendComplete},
		{"early response, aborted", func(ServerStream, *wharfwire.CallFrame) error {
			return &AbortedError{wharfoutcome.ReasonResponseIncomplete}
		}},
		{"early response, aborted without a reason", func(s ServerStream, _ *wharfwire.CallFrame) error {
			if err := s.Send(&wharfwire.AnswerFrame{Admitted: &wharfwire.Admitted{}}); err != nil {
				return err
			}
			return io.ErrUnexpectedEOF
		}},
		{"connection lost", func(s ServerStream, _ *wharfwire.CallFrame) error {
			listener.closeAll()
			<-s.Context().Done()
			return s.Context().Err()
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			started, address := startNode(t, &scriptedReceiver{serve: tc.serve})
			listener = started
			var c Client
			defer c.Close()
			x := c.Open(t.Context(), address)
			is.NoErr(x.Send(&wharfwire.CallFrame{Head: &wharfwire.CallHead{AttemptId: 7, Streams: true}}))
			ended := make(chan string, 2)
			go func() {
				var err error
				for err == nil {
					_, err = x.Recv()
				}
				ended <- "response"
				for err = nil; err == nil; {
					err = x.Send(&wharfwire.CallFrame{Chunk: make([]byte, wharfwire.ChunkSize)})
				}
				ended <- "body"
			}()
			for _, want := range []string{"response", "body"} {
				select {
				case got := <-ended:
					is.Equal(got, want)
				case <-time.After(bound):
					t.Fatalf("the %s hasn't ended", want)
				}
			}
		})
	}
}

// TestSenderDisconnectEndsContext cancels a call while the node serves it. The
// context of the node's stream must end, for short calls and for uploads whose
// body was sent completely. Otherwise the node would go on working for a sender
// that has disconnected.
func TestSenderDisconnectEndsContext(t *testing.T) {
	for _, streamed := range []bool{false, true} {
		t.Run(map[bool]string{false: "short", true: "upload"}[streamed], func(t *testing.T) {
			is := is.New(t)
			started, cancelled := make(chan struct{}), make(chan struct{})
			r := &scriptedReceiver{serve: func(s ServerStream, f *wharfwire.CallFrame) error {
				if streamed {
					if err := s.Send(&wharfwire.AnswerFrame{Admitted: &wharfwire.Admitted{}}); err != nil {
						return err
					}
				}
				for f.GetEnd() == nil {
					var err error
					if f, err = s.Recv(); err != nil {
						return err
					}
				}
				close(started)
				<-s.Context().Done()
				close(cancelled)
				return nil
			}}
			_, address := startNode(t, r)
			ctx, cancel := context.WithCancel(context.Background())
			var c Client
			x := c.Open(ctx, address)
			is.NoErr(x.Send(&wharfwire.CallFrame{Head: &wharfwire.CallHead{Streams: streamed}, End: bodyEndIf(!streamed)}))
			if streamed {
				_, err := x.Recv()
				is.NoErr(err)
				is.NoErr(x.Send(&wharfwire.CallFrame{End: &wharfwire.BodyEnd{}}))
			}
			is.NoErr(x.CloseSend())
			go func() { _, _ = x.Recv() }()
			wait(t, started)
			cancel()
			wait(t, cancelled)
		})
	}
}

// bodyEndIf returns an end frame for the last chunk of a body, or else nil.
func bodyEndIf(last bool) *wharfwire.BodyEnd {
	if last {
		return &wharfwire.BodyEnd{}
	}
	return nil
}

// wait fails the test if the channel is not closed within a minute.
func wait(t *testing.T, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(time.Minute):
		t.Fatal("timed out after one minute")
	}
}

// TestInvalidFrameIsRejected guards against a handler that serves a request body
// without a valid frame. It must respond with status 400.
func TestInvalidFrameIsRejected(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(Handler{Receiver: &scriptedReceiver{serve: sendComplete}})
	defer server.Close()
	response, err := http.Post(server.URL, "application/octet-stream", strings.NewReader("no frame"))
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	is.Equal(response.StatusCode, http.StatusBadRequest)
}

// TestEndedUploadIsReleased guards against calls that keep goroutines, buffers and a connection
// for good because they have ended before their body was sent, as a refused upload does.
func TestEndedUploadIsReleased(t *testing.T) {
	const calls = 20
	head := &wharfwire.CallFrame{Head: &wharfwire.CallHead{AttemptId: 7, Streams: true}}
	tests := []struct {
		name string
		// admits is true if the body is asked for before the call ends.
		admits bool
	}{
		{"refused before the body", false},
		{"ended in the middle of the body", true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			_, address := startNode(t, &scriptedReceiver{serve: func(s ServerStream, f *wharfwire.CallFrame) error {
				if tc.admits {
					if err := s.Send(&wharfwire.AnswerFrame{Admitted: &wharfwire.Admitted{AttemptId: 7}}); err != nil {
						return err
					}
				}
				return sendComplete(s, f)
			}})
			var c Client
			defer c.Close()
			var uploads sync.WaitGroup
			for range calls {
				ctx, cancel := context.WithCancel(t.Context())
				x := c.Open(ctx, address)
				is.NoErr(x.Send(head))
				f, err := x.Recv()
				is.NoErr(err)
				if f.GetAdmitted() != nil {
					uploads.Go(func() {
						for x.Send(&wharfwire.CallFrame{Chunk: make([]byte, wharfwire.ChunkSize)}) == nil {
						}
					})
					f, err = x.Recv()
					is.NoErr(err)
				}
				is.True(f.GetEnd() != nil)
				cancel()
			}
			ended := make(chan struct{})
			go func() {
				uploads.Wait()
				close(ended)
			}()
			wait(t, ended)
			var waiting int
			for range 200 {
				stacks := make([]byte, 1<<20)
				stacks = stacks[:runtime.Stack(stacks, true)]
				waiting = strings.Count(string(stacks), "io.(*pipe).")
				if waiting == 0 {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
			t.Errorf("%d goroutines wait for the body of a call that has ended", waiting)
		})
	}
}

// TestClosedConnectionsLoseNoCall guards against calls that fail, or run twice, because the node
// closes a connection after a response while the sender uses it for the next call.
func TestClosedConnectionsLoseNoCall(t *testing.T) {
	const senders, calls = 8, 500
	is := is.New(t)
	r := &scriptedReceiver{serve: sendComplete}
	var responses atomic.Int32
	closes := func() bool { return responses.Add(1)%3 == 0 }
	_, address := startHandler(t, Handler{Receiver: r, CloseConnection: closes})
	var c Client
	t.Cleanup(c.Close)
	var failed atomic.Int32
	var group sync.WaitGroup
	for range senders {
		group.Go(func() {
			for range calls {
				if _, err := call(&c, address); err != nil {
					failed.Add(1)
				}
			}
		})
	}
	group.Wait()
	is.Equal(failed.Load(), int32(0))
	is.Equal(r.arrivals.Load(), int32(senders*calls))
}

// TestIdleConnectionsAreBounded guards against a sender that has called many nodes at once and then
// holds all its connections, whose memory and descriptors it needs for others.
func TestIdleConnectionsAreBounded(t *testing.T) {
	const nodes, calls = 6, 150
	is := is.New(t)
	overlap := make(chan struct{})
	r := &scriptedReceiver{serve: func(s ServerStream, f *wharfwire.CallFrame) error {
		<-overlap
		return sendComplete(s, f)
	}}
	var c Client
	t.Cleanup(c.Close)
	var failed atomic.Int32
	var group sync.WaitGroup
	for range nodes {
		_, address := startNode(t, r)
		for range calls {
			group.Go(func() {
				if _, err := call(&c, address); err != nil {
					failed.Add(1)
				}
			})
		}
	}
	// A call may fail on a busy machine, because the setup of a connection takes too long.
	for r.arrivals.Load()+failed.Load() < nodes*calls {
		time.Sleep(time.Millisecond)
	}
	is.True(r.arrivals.Load() > maxIdleConns)
	close(overlap)
	group.Wait()
	for end := time.Now().Add(idleTimeout / 2); c.Connections() > maxIdleConns && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.True(c.Connections() <= maxIdleConns)
}

// TestSenderThatStopsReadingIsGivenUp guards against responses that are held for another node that
// has stopped reading or was lost.
func TestSenderThatStopsReadingIsGivenUp(t *testing.T) {
	const timeout = 200 * time.Millisecond
	is := is.New(t)
	ended := make(chan time.Duration, 1)
	_, address := startNode(t, &scriptedReceiver{serve: func(s ServerStream, f *wharfwire.CallFrame) error {
		started, head := time.Now(), &wharfwire.AnswerHead{AttemptId: f.GetHead().GetAttemptId()}
		chunk := make([]byte, wharfwire.ChunkSize)
		var err error
		for err == nil {
			err = s.Send(&wharfwire.AnswerFrame{Head: head, Chunk: chunk})
			head = nil
		}
		ended <- time.Since(started)
		return err
	}})
	x := (&Client{}).Open(t.Context(), address)
	is.NoErr(x.Send(&wharfwire.CallFrame{Head: &wharfwire.CallHead{AttemptId: 7, TimeoutMs: timeout.Milliseconds()}, End: &wharfwire.BodyEnd{}}))
	is.NoErr(x.CloseSend())
	_, err := x.Recv()
	is.NoErr(err)
	elapsed := <-ended
	is.True(elapsed >= timeout)
	is.True(elapsed < timeout+wharfsocket.DeliveryGrace+time.Second)
}
