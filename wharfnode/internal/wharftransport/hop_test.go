package wharftransport

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfwire"
)

// breakingListener remembers its connections, so that a handler can break
// them.
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

func (l *breakingListener) breakAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
	l.conns = nil
}

// scripted serves calls by a function and counts them.
type scripted struct {
	arrivals atomic.Int32
	serve    func(s Stream, first *wharfwire.CallFrame) error
}

func (r *scripted) Call(s Stream) error {
	f, err := s.Recv()
	if err != nil {
		return err
	}
	r.arrivals.Add(1)
	return r.serve(s, f)
}

func startNode(t *testing.T, r Receiver) (*breakingListener, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	breaking := &breakingListener{Listener: l}
	server := &http.Server{Handler: Handler{Receiver: r}}
	go func() { _ = server.Serve(breaking) }()
	t.Cleanup(func() { _ = server.Close() })
	return breaking, l.Addr().String()
}

func whole(s Stream, f *wharfwire.CallFrame) error {
	return s.Send(&wharfwire.AnswerFrame{
		Head: &wharfwire.AnswerHead{AttemptId: f.GetHead().GetAttemptId()}, End: &wharfwire.AnswerEnd{},
	})
}

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

// TestBrokenCallIsNotResent breaks a connection that was used before, after the
// node has read the call.
func TestBrokenCallIsNotResent(t *testing.T) {
	is := is.New(t)
	var broken atomic.Bool
	var listener *breakingListener
	r := &scripted{}
	r.serve = func(s Stream, f *wharfwire.CallFrame) error {
		if broken.Load() {
			listener.breakAll()
			return nil
		}
		return whole(s, f)
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
	for err != nil {
		_, err = call(&c, address)
		is.True(r.arrivals.Load() <= 3)
	}
	is.Equal(r.arrivals.Load(), int32(3)) // nothing arrived by itself
}

// TestUnsentIsTold calls an address that nothing listens on.
func TestUnsentIsTold(t *testing.T) {
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

// TestCalls passes short and long calls over the network and within the process.
func TestCalls(t *testing.T) {
	upload := func(s Stream, f *wharfwire.CallFrame) error {
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
	broken := func(s Stream, _ *wharfwire.CallFrame) error {
		return &AbortedError{wharfoutcome.ReasonTargetCrashed}
	}
	brokenLater := func(s Stream, _ *wharfwire.CallFrame) error {
		_ = s.Send(&wharfwire.AnswerFrame{Head: &wharfwire.AnswerHead{AttemptId: 7}})
		return &AbortedError{wharfoutcome.ReasonTargetCrashed}
	}
	tests := []struct {
		name   string
		serve  func(Stream, *wharfwire.CallFrame) error
		long   bool
		length int64
		broken bool
	}{
		{"short", whole, false, 0, false},
		{"upload", upload, true, 3 * 1000, false},
		{"broken at once", broken, false, 0, true},
		{"broken later", brokenLater, false, 0, true},
	}
	for _, tc := range tests {
		for _, way := range []string{"network", "process"} {
			t.Run(tc.name+" by "+way, func(t *testing.T) {
				is := is.New(t)
				r := &scripted{serve: tc.serve}
				_, address := startNode(t, r)
				c := &Client{}
				if way == "process" {
					c = &Client{SelfAddress: address, Receiver: r}
				}
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				x := c.Open(ctx, address)
				first := &wharfwire.CallFrame{Head: &wharfwire.CallHead{AttemptId: 7, Streams: tc.long}, Chunk: make([]byte, 1000)}
				if !tc.long {
					first.End = &wharfwire.BodyEnd{}
				}
				is.NoErr(x.Send(first))
				if !tc.long {
					is.NoErr(x.CloseSend())
				}
				f, err := x.Recv()
				if tc.long {
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
				var b *AbortedError
				if tc.broken {
					is.True(err != nil)
					is.True(errors.As(err, &b))
					is.Equal(b.Reason, wharfoutcome.ReasonTargetCrashed)
					return
				}
				is.NoErr(err)
				is.Equal(f.GetHead().GetContentLength(), tc.length)
			})
		}
	}
}

// TestLeavingSenderIsNoticed ends calls on their sending side while the node
// works on them, short ones and uploads.
func TestLeavingSenderIsNoticed(t *testing.T) {
	for _, long := range []bool{false, true} {
		t.Run(map[bool]string{false: "short", true: "upload"}[long], func(t *testing.T) {
			is := is.New(t)
			started, left := make(chan struct{}), make(chan struct{})
			r := &scripted{serve: func(s Stream, f *wharfwire.CallFrame) error {
				if long {
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
				close(left)
				return nil
			}}
			_, address := startNode(t, r)
			ctx, cancel := context.WithCancel(context.Background())
			var c Client
			x := c.Open(ctx, address)
			is.NoErr(x.Send(&wharfwire.CallFrame{Head: &wharfwire.CallHead{Streams: long}, End: endIf(!long)}))
			if long {
				_, err := x.Recv()
				is.NoErr(err)
				is.NoErr(x.Send(&wharfwire.CallFrame{End: &wharfwire.BodyEnd{}}))
			}
			is.NoErr(x.CloseSend())
			go func() { _, _ = x.Recv() }()
			wait(t, started)
			cancel()
			wait(t, left)
		})
	}
}

func endIf(last bool) *wharfwire.BodyEnd {
	if last {
		return &wharfwire.BodyEnd{}
	}
	return nil
}

func wait(t *testing.T, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(time.Minute):
		t.Fatal("never happened")
	}
}

// TestOnlyCallsAreServed sends what isn't a call.
func TestOnlyCallsAreServed(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(Handler{Receiver: &scripted{serve: whole}})
	defer server.Close()
	response, err := http.Post(server.URL, "application/octet-stream", strings.NewReader("no frame"))
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	is.Equal(response.StatusCode, http.StatusBadRequest)
}
