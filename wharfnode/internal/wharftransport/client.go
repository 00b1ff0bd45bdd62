package wharftransport

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/samber/oops"

	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfsocket"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/internal/wharfliveness"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

const (
	// dialTimeout bounds the set-up of a connection to another node. It covers
	// the round trip between regions several times.
	dialTimeout = 300 * time.Millisecond
	// idleTimeout closes a connection to another node that isn't used. It is
	// shorter than that of a node's server.
	idleTimeout = 30 * time.Second
	// maxIdleConns is the number of idle connections kept to one node.
	maxIdleConns = 256
)

// AbortedError says that the target's node ended an answer early.
type AbortedError struct {
	Reason wharfoutcome.Reason
}

// Error returns the reason.
func (e *AbortedError) Error() string {
	return "answer broken off: " + string(e.Reason)
}

// Client sends calls to other nodes. The zero Client is ready to use.
type Client struct {
	// SelfAddress is the address by which others reach this node, and Receiver what
	// serves its calls. Calls to itself don't leave the process.
	SelfAddress string
	Receiver    Receiver
	Log         wharfevents.Log

	monitors  sync.Map
	once      sync.Once
	transport *http.Transport
}

// Exchange is a call on its sending side.
type Exchange interface {
	// Send hands a frame over. Frames sent before the first Recv go together.
	Send(f *wharfwire.CallFrame) error
	// CloseSend says that no frame follows.
	CloseSend() error
	// Recv returns the next frame of the answer.
	Recv() (*wharfwire.AnswerFrame, error)
	// Sent reports whether the node may have received anything.
	Sent() bool
}

// Monitor returns what watches the calls to an address.
func (c *Client) Monitor(address string) *wharfliveness.Monitor {
	if w, ok := c.monitors.Load(address); ok {
		return w.(*wharfliveness.Monitor)
	}
	w, _ := c.monitors.LoadOrStore(address, &wharfliveness.Monitor{
		Address: address, OnChange: func(silent bool) { c.onLivenessChange(address, silent) },
	})
	return w.(*wharfliveness.Monitor)
}

// onLivenessChange takes note of a node that has fallen silent or answers again.
func (c *Client) onLivenessChange(address string, silent bool) {
	event := wharfevents.NodeAnswers
	if silent {
		event = wharfevents.NodeSilent
	}
	c.Log.Emit(event, wharfevents.Field{Name: "node", Value: address})
}

// Open begins a call to the node at an address. It ends with its context.
func (c *Client) Open(ctx context.Context, address string) Exchange {
	if address == c.SelfAddress && c.Receiver != nil {
		return newLocal(ctx, c.Receiver)
	}
	return &exchange{client: c, ctx: ctx, address: address, body: buffers.Get().(*bytes.Buffer)}
}

// Close ends the idle connections.
func (c *Client) Close() {
	if c.transport != nil {
		c.transport.CloseIdleConnections()
	}
}

func (c *Client) roundTripper() *http.Transport {
	c.once.Do(func() {
		c.transport = &http.Transport{
			DisableCompression:  true,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleTimeout,
			DialContext:         wharfsocket.Dialer(dialTimeout).DialContext,
		}
	})
	return c.transport
}

// exchange is a call over HTTP.
type exchange struct {
	client  *Client
	ctx     context.Context
	address string
	// body collects the frames that are sent before the first answer.
	body    *bytes.Buffer
	ended   bool
	started bool
	rest    *io.PipeWriter
	got     bool
	reader  *bufio.Reader
	close   func() error
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
	_, err := x.rest.Write(b.Bytes())
	return err
}

func (x *exchange) CloseSend() error {
	x.ended = true
	if x.rest != nil {
		return x.rest.Close()
	}
	return nil
}

func (x *exchange) Sent() bool {
	return x.got
}

func (x *exchange) Recv() (*wharfwire.AnswerFrame, error) {
	if !x.started {
		if err := x.start(); err != nil {
			return nil, err
		}
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

// start sends what was collected and waits for the head of the answer.
func (x *exchange) start() error {
	x.started = true
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { x.got = true }}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(x.ctx, trace), http.MethodPost, "http://"+x.address+Path, x.frames())
	if err != nil {
		return oops.Code("peer-address").Wrap(err)
	}
	// Without GetBody the transport never sends the call a second time.
	r.GetBody = nil
	if x.ended {
		r.ContentLength = int64(x.body.Len())
	}
	response, err := x.client.roundTripper().RoundTrip(r) //nolint:bodyclose // finish closes it
	if err != nil {
		return err
	}
	x.reader, x.close = newReader(response.Body), response.Body.Close
	if response.StatusCode != http.StatusOK {
		x.finish()
		return oops.Code("peer-refused").Errorf("node %s answered a call with status %d", x.address, response.StatusCode)
	}
	return nil
}

// frames returns the body of the request. It isn't a type that the transport
// can rewind.
func (x *exchange) frames() io.Reader {
	first := io.NopCloser(x.body)
	if x.ended {
		return first
	}
	rest, w := io.Pipe()
	x.rest = w
	return io.MultiReader(first, rest)
}

// finish gives the connection back if the answer was read to its end.
func (x *exchange) finish() {
	if x.close == nil {
		return
	}
	if x.reader.Buffered() == 0 {
		// Reading the end of the body lets the transport keep the connection.
		_, _ = x.reader.ReadByte()
	}
	_ = x.close()
	x.close = nil
}
