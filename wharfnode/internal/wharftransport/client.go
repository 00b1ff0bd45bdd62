package wharftransport

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfsocket"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/internal/wharfliveness"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

const (
	// dialTimeout bounds the setup of a connection to another node. It is
	// several times the round trip between regions.
	dialTimeout = 300 * time.Millisecond
	// idleTimeout is the time after which an unused connection to another node
	// is closed. Each connection takes memory and a descriptor at both nodes, so that it
	// must be short: a node holds those that all senders have opened within this time.
	// It is shorter than the idle timeout of a node's server.
	idleTimeout = 4 * time.Second
	// maxIdleConnsPerNode is the maximum number of idle connections kept to one node.
	maxIdleConnsPerNode = 256
	// maxIdleConns is the maximum number of idle connections kept to all nodes. It bounds
	// their memory to some 10 MB.
	maxIdleConns = 512
)

// AbortedError reports that the target's node ended a response early.
type AbortedError struct {
	Reason wharfoutcome.Reason
}

// Error returns a message with the reason.
func (e *AbortedError) Error() string {
	return "response aborted: " + string(e.Reason)
}

// Client sends calls to other nodes. The zero Client is ready to use. Its
// methods except Close are safe for concurrent use.
type Client struct {
	// SelfAddress is the address at which other nodes reach this node. Receiver
	// serves the calls of this node to itself, which don't leave the process. If
	// it is nil, they are sent over HTTP.
	SelfAddress string
	Receiver    Receiver
	Log         wharfevents.Log

	monitors       sync.Map
	keepCallsUntil atomic.Pointer[time.Time]
	once           sync.Once
	transport      *http.Transport
	connections    wharfsocket.Count
}

// ClientStream is the sending side of a call. After the first Recv, one goroutine
// may send frames while another receives.
type ClientStream interface {
	// Send sends a frame, which the sender must not change afterwards. Frames
	// may be buffered until the first Recv and are then sent together.
	Send(f *wharfwire.CallFrame) error
	// CloseSend ends the request: no frame follows.
	CloseSend() error
	// Recv returns the next frame of the response. It returns an AbortedError if
	// the target's node ended the response early.
	Recv() (*wharfwire.AnswerFrame, error)
	// Sent reports whether the node may have received a part of the call.
	Sent() bool
}

// Monitor returns the liveness monitor of the node at an address.
func (c *Client) Monitor(address string) *wharfliveness.Monitor {
	if m, ok := c.monitors.Load(address); ok {
		return m.(*wharfliveness.Monitor)
	}
	m, _ := c.monitors.LoadOrStore(address, &wharfliveness.Monitor{
		Address: address, Probe: probeNode, KeepsCalls: c.keepsCalls,
		OnChange: func(unresponsive bool) { c.onLivenessChange(address, unresponsive) },
	})
	return m.(*wharfliveness.Monitor)
}

// KeepCallsUntil lets the calls in flight go on until a time when a node is unresponsive. Around
// a planned stop there is little to gain from another node, and no call at which a target may
// be at work is given up.
func (c *Client) KeepCallsUntil(t time.Time) {
	c.keepCallsUntil.Store(&t)
}

func (c *Client) keepsCalls() bool {
	until := c.keepCallsUntil.Load()
	return until != nil && time.Now().Before(*until)
}

// onLivenessChange logs that a node has become unresponsive or responds again.
func (c *Client) onLivenessChange(address string, unresponsive bool) {
	event := wharfevents.NodeResponsive
	if unresponsive {
		event = wharfevents.NodeUnresponsive
	}
	c.Log.Emit(event, wharfevents.Field{Name: "node", Value: address})
}

// Open begins a call to the node at an address. The call ends when its context
// does.
func (c *Client) Open(ctx context.Context, address string) ClientStream {
	if address == c.SelfAddress && c.Receiver != nil {
		return newLocalCall(ctx, c.Receiver, c.Log)
	}
	return &exchange{client: c, ctx: ctx, address: address, body: buffers.Get().(*bytes.Buffer)}
}

// Connections returns the number of open connections to other nodes.
func (c *Client) Connections() int {
	return c.connections.Open()
}

// Close closes the idle connections and ends the probing of nodes.
func (c *Client) Close() {
	c.monitors.Range(func(_, m any) bool {
		m.(*wharfliveness.Monitor).Stop()
		return true
	})
	if c.transport != nil {
		c.transport.CloseIdleConnections()
	}
}

func (c *Client) roundTripper() *http.Transport {
	c.once.Do(func() {
		c.transport = &http.Transport{
			DisableCompression:  true,
			MaxIdleConns:        maxIdleConns,
			MaxIdleConnsPerHost: maxIdleConnsPerNode,
			IdleConnTimeout:     idleTimeout,
			DialContext:         c.dial,
		}
	})
	return c.transport
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.connections.Dial(wharfsocket.LongLived(dialTimeout))(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &nodeConn{Conn: conn}, nil
}

// nodeConn is a connection to another node. When it is closed, it ends the body of the call
// that it carries: the HTTP transport reports the loss of a connection only once it has read on
// in the body of the request.
type nodeConn struct {
	net.Conn
	mu     sync.Mutex
	closed bool
	// endBody ends the body of the call. It is nil for a call whose body is sent at once.
	endBody func()
}

// carry sets what ends the body of the present call.
func (c *nodeConn) carry(endBody func()) {
	c.mu.Lock()
	c.endBody = endBody
	closed := c.closed
	c.mu.Unlock()
	if closed && endBody != nil {
		endBody()
	}
}

// Close closes the connection.
func (c *nodeConn) Close() error {
	c.mu.Lock()
	c.closed = true
	endBody := c.endBody
	c.mu.Unlock()
	if endBody != nil {
		endBody()
	}
	return c.Conn.Close()
}

// exchange is a call over HTTP.
type exchange struct {
	client  *Client
	ctx     context.Context
	address string
	// body buffers the frames that are sent before the first Recv.
	body *bytes.Buffer
	// sendClosed is true after CloseSend.
	sendClosed bool
	// started is true once the first Recv has sent the HTTP request.
	started bool
	// bodyWriter takes the frames sent after the first Recv, and endBody makes it return
	// an error instead. They are nil if the request was complete by then.
	bodyWriter *io.PipeWriter
	endBody    func()
	// gotConn is true once the HTTP transport has a connection for the call.
	gotConn bool
	reader  *bufio.Reader
	// close closes the body of the HTTP response. It is nil before the response
	// and after finish.
	close func() error
}

func (x *exchange) Send(f *wharfwire.CallFrame) error {
	if !x.started {
		return encode(x.body, f)
	}
	b := buffers.Get().(*bytes.Buffer)
	defer freeBuffer(b)
	if err := encode(b, f); err != nil {
		return err
	}
	_, err := x.bodyWriter.Write(b.Bytes())
	return err
}

func (x *exchange) CloseSend() error {
	x.sendClosed = true
	if x.bodyWriter != nil {
		return x.bodyWriter.Close()
	}
	return nil
}

func (x *exchange) Sent() bool {
	return x.gotConn
}

func (x *exchange) Recv() (*wharfwire.AnswerFrame, error) {
	if !x.started {
		if err := x.start(); err != nil {
			return nil, err
		}
	}
	if x.close == nil {
		return nil, io.EOF
	}
	f := new(wharfwire.AnswerFrame)
	if err := unmarshal.UnmarshalFrom(x.reader, f); err != nil {
		x.finish()
		return nil, err
	}
	if f.GetBroken() != "" {
		x.finish()
		return nil, &AbortedError{wharfoutcome.Reason(f.GetBroken())}
	}
	if f.GetEnd() != nil {
		x.finish()
	}
	return f, nil
}

// start sends the buffered frames and waits for the head of the HTTP response.
func (x *exchange) start() error {
	x.started = true
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		x.gotConn = true
		if conn, ok := info.Conn.(*nodeConn); ok {
			conn.carry(x.endBody)
		}
	}}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(x.ctx, trace), http.MethodPost, "http://"+x.address+Path, x.requestBody())
	if err != nil {
		x.finish()
		return oops.Code("peer-address").Wrap(err)
	}
	// Without GetBody, the HTTP transport never resends the call.
	r.GetBody = nil
	if x.sendClosed {
		r.ContentLength = int64(x.body.Len())
	}
	response, err := x.client.roundTripper().RoundTrip(r) //nolint:bodyclose // finish closes it
	if err != nil {
		x.finish()
		return err
	}
	x.reader, x.close = newReader(response.Body), response.Body.Close
	if response.StatusCode != http.StatusOK {
		x.finish()
		return oops.Code("peer-refused").Errorf("node %s responded to a call with status %d", x.address, response.StatusCode)
	}
	return nil
}

// requestBody returns the body of the HTTP request. Its type is not one that the
// HTTP transport can rewind to resend the request. The HTTP transport waits for the rest
// of a body also after the response, so that the end of the call's context ends the body.
func (x *exchange) requestBody() io.Reader {
	first := io.NopCloser(x.body)
	if x.sendClosed {
		return first
	}
	rest, w := io.Pipe()
	x.bodyWriter = w
	x.endBody = func() { _ = rest.CloseWithError(errCallEnded) }
	context.AfterFunc(x.ctx, x.endBody)
	return io.MultiReader(first, rest)
}

// errCallEnded is the error of frames that are sent after the call has ended.
var errCallEnded = errors.New("the call has ended")

// finish ends the body of the HTTP request and closes that of the response. If both were
// sent to their ends, the connection is reused.
func (x *exchange) finish() {
	if x.endBody != nil {
		x.endBody()
	}
	if x.close == nil {
		return
	}
	if x.reader.Buffered() == 0 {
		// The HTTP transport reuses the connection only after the body was read
		// to EOF.
		_, _ = x.reader.ReadByte()
	}
	_ = x.close()
	x.close = nil
	freeReader(x.reader)
}
