package wharfpeers

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/grpc"

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

// breakingNode takes calls and breaks the connection when told to.
type breakingNode struct {
	wharfwire.UnimplementedNodeServer
	listener *breakingListener
	breaks   atomic.Bool
	arrivals atomic.Int32
}

func (n *breakingNode) Call(stream grpc.BidiStreamingServer[wharfwire.CallFrame, wharfwire.AnswerFrame]) error {
	frame, err := stream.Recv()
	if err != nil {
		return err
	}
	n.arrivals.Add(1)
	if n.breaks.Load() {
		n.listener.breakAll()
		return nil
	}
	return stream.Send(&wharfwire.AnswerFrame{Head: &wharfwire.AnswerHead{AttemptId: frame.GetHead().GetAttemptId()}})
}

func startBreakingNode(t *testing.T) (*breakingNode, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &breakingNode{listener: &breakingListener{Listener: l}}
	server := grpc.NewServer(ServerOptions()...)
	wharfwire.RegisterNodeServer(server, n)
	go func() { _ = server.Serve(n.listener) }()
	t.Cleanup(server.Stop)
	return n, l.Addr().String()
}

func call(p *Pool, address string) error {
	client, err := p.Client(address)
	if err != nil {
		return err
	}
	stream, err := client.Call(context.Background())
	if err != nil {
		return err
	}
	if err := stream.Send(&wharfwire.CallFrame{Head: &wharfwire.CallHead{AttemptId: 7}}); err != nil {
		return err
	}
	_, err = stream.Recv()
	return err
}

// TestBrokenCallIsNotResent breaks a connection that was used before, after the
// node has read the call.
func TestBrokenCallIsNotResent(t *testing.T) {
	is := is.New(t)
	n, address := startBreakingNode(t)
	var p Pool
	defer p.Close()
	is.NoErr(p.Ready(context.Background(), address))
	is.NoErr(call(&p, address))
	n.breaks.Store(true)
	is.True(call(&p, address) != nil)
	is.Equal(n.arrivals.Load(), int32(2))
	n.breaks.Store(false)
	for call(&p, address) != nil {
		is.True(n.arrivals.Load() <= 3)
	}
	is.Equal(n.arrivals.Load(), int32(3)) // nothing arrived by itself
}

func TestReadyFailsWithoutNode(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	var p Pool
	defer p.Close()
	is.True(p.Ready(context.Background(), address) != nil)
}
