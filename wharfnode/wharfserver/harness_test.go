package wharfserver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharf/wharflog"
	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharfsocket/wharfmemnet"
	"ragwortwharf.dev/wharf/wharfstate"
	"ragwortwharf.dev/wharf/wharfstream"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/internal/wharftest"
	"ragwortwharf.dev/wharfnode/wharfevents"
	"ragwortwharf.dev/wharfnode/wharfsettings"
)

// ports allocates the addresses of this package's tests.
var ports = wharftest.Ports{Base: 11000}

// faultyLog is an in-memory log with injected faults.
type faultyLog struct {
	wharflog.Memory
	down atomic.Bool
	// lostResponses is how many of the next appends succeed but return
	// wharfstream.ErrUncertain.
	lostResponses atomic.Int32
	// delayMs is the delay of every call, in milliseconds.
	delayMs atomic.Int64
}

// injectFaults delays a call, and fails it while the log is down.
func (f *faultyLog) injectFaults() error {
	time.Sleep(time.Duration(f.delayMs.Load()) * time.Millisecond)
	if f.down.Load() {
		return wharfstream.ErrUnavailable
	}
	return nil
}

func (f *faultyLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if err := f.injectFaults(); err != nil {
		return 0, err
	}
	offset, err := f.Memory.Append(ctx, stream, data)
	if err == nil && f.lostResponses.Add(-1) >= 0 {
		return 0, wharfstream.ErrUncertain
	}
	return offset, err
}

func (f *faultyLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (wharfstream.Batch, error) {
	if err := f.injectFaults(); err != nil {
		return wharfstream.Batch{}, err
	}
	return f.Memory.Read(ctx, stream, from, limit, min(wait, 100*time.Millisecond))
}

// publish appends a configuration change with documents, whatever faults are
// injected.
func (f *faultyLog) publish(t *testing.T, id string, documents ...wharfconfig.Document) {
	t.Helper()
	change := wharfconfig.Change{ID: id, Author: "test"}
	for _, d := range documents {
		change.Edits = append(change.Edits, wharfconfig.Edit{Key: d.Key(), Document: &d})
	}
	data, err := wharfstate.Envelope{Change: &change}.Encode()
	if err == nil {
		_, err = f.Memory.Append(context.Background(), wharfstate.StateStream, data)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// testCluster is a log and several nodes in the test process.
type testCluster struct {
	t       *testing.T
	log     *faultyLog
	nodes   []*testNode
	variant wharfsettings.Variant
	// snapshotInterval is the snapshot interval of nodes that are started
	// later.
	snapshotInterval time.Duration
}

// testNode is a node that runs in the test process.
type testNode struct {
	*Node
	caller, admin string
	// link carries the connections of other nodes to this node, and logLink
	// those of this node to the log.
	link, logLink *link
	// stop starts a planned stop, and ended is closed once the node has
	// stopped.
	stop  context.CancelFunc
	ended chan struct{}
}

func newTestCluster(t *testing.T) *testCluster {
	t.Helper()
	return &testCluster{
		t: t, log: &faultyLog{}, snapshotInterval: time.Hour,
		variant: wharfsettings.Variant{Limiter: "aimd", QueueOrder: "adaptive", Levels: true, Retries: "budgeted"},
	}
}

// startNode starts a node in a failure domain. The earlier nodes are its seeds.
func (c *testCluster) startNode(domain string) *testNode {
	c.t.Helper()
	server := wharfmemnet.NewServer(c.t, wharflog.Handler(c.log))
	logLink := newLink(c.t, strings.TrimPrefix(server.URL, "http://"))
	listen := ports.Address(c.t)
	nodeLink := newLink(c.t, listen)
	s := wharfsettings.Settings{
		CallerListen: ports.Address(c.t), NodeListen: listen, AdminListen: ports.Address(c.t),
		Advertise: nodeLink.address, FailureDomain: domain, Region: "r", LogURL: "http://" + logLink.address,
		StopTimeout: time.Minute, SnapshotInterval: c.snapshotInterval, TargetTimeout: time.Hour, Variant: c.variant,
		RepeatRatio: 0.1, RepeatSlack: 64, RepeatWindow: 10 * time.Second,
	}
	for _, n := range c.nodes {
		s.Seeds = append(s.Seeds, n.settings.Advertise)
	}
	n := c.runNode(s, nodeLink, logLink)
	c.nodes = append(c.nodes, n)
	return n
}

// restart stops a node and starts it again at its addresses, without seeds.
func (c *testCluster) restart(n *testNode) *testNode {
	c.t.Helper()
	n.stop()
	<-n.ended
	s := n.settings
	s.Seeds = nil
	restarted := c.runNode(s, n.link, n.logLink)
	c.nodes[slices.Index(c.nodes, n)] = restarted
	return restarted
}

// runNode runs a node until the end of the test, and waits until it serves.
func (c *testCluster) runNode(s wharfsettings.Settings, nodeLink, logLink *link) *testNode {
	c.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	n := &testNode{
		Node: New(s.WithDefaults(), wharfevents.Log{}), stop: cancel, ended: make(chan struct{}),
		caller: "http://" + s.CallerListen, admin: "http://" + s.AdminListen, link: nodeLink, logLink: logLink,
	}
	go func() {
		defer close(n.ended)
		if err := n.Run(ctx); err != nil {
			c.t.Error(err)
		}
	}()
	c.t.Cleanup(func() {
		cancel()
		<-n.ended
	})
	wharftest.Eventually(c.t, "node serves", func() bool {
		r, err := wharfmemnet.Client().Get(n.admin + "/wharf/v1/status")
		if err != nil {
			return false
		}
		_ = r.Body.Close()
		return true
	})
	return n
}

// announce announces a server to a node as a target of a service.
func (c *testCluster) announce(n *testNode, service, address string) {
	c.t.Helper()
	body, _ := json.Marshal(wharfmember.Target{Service: service, Address: address, Slots: 20})
	r, err := wharfmemnet.Client().Post(n.admin+"/wharf/v1/targets", "application/json", bytes.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	_ = r.Body.Close()
	if r.StatusCode != http.StatusOK {
		c.t.Fatal(r.Status)
	}
}

// startTarget starts a target on a node. It waits until all nodes know the
// target and, unless the log is down, the target's node as an owner of keys.
func (c *testCluster) startTarget(n *testNode, service string, handler http.HandlerFunc) *httptest.Server {
	c.t.Helper()
	server := wharfmemnet.NewServer(c.t, handler)
	address := strings.TrimPrefix(server.URL, "http://")
	c.announce(n, service, address)
	wharftest.Eventually(c.t, "all nodes know the target", func() bool {
		for _, other := range c.nodes {
			found := false
			for _, target := range other.view.Targets(service) {
				found = found || target.Address == address
			}
			owned := false
			for _, o := range other.view.State().Ownership().Owners(service) {
				owned = owned || o.Node == n.view.Node()
			}
			if !found || !c.log.down.Load() && !owned {
				return false
			}
		}
		return true
	})
	return server
}

// reply is the response that a caller received.
type reply struct {
	status  int
	outcome string
	// reason is the value of the wharf-reason header. In the values, "home" is
	// the owner of a key and "silent" means unresponsive. These names stay for
	// existing callers.
	reason string
	body   string
	err    error
}

// request is a request of a caller. The default method is GET.
type request struct {
	method  string
	path    string
	service string
	key     string
	body    string
	headers [][2]string
}

func (n *testNode) send(q request) reply {
	if q.method == "" {
		q.method = http.MethodGet
	}
	r, err := http.NewRequest(q.method, n.caller+"/"+strings.TrimPrefix(q.path, "/"), strings.NewReader(q.body))
	if err != nil {
		return reply{err: err}
	}
	r.Header.Set(wharfwire.HeaderService, q.service)
	if q.key != "" {
		r.Header.Set(wharfwire.HeaderIdempotencyKey, q.key)
	}
	for _, h := range q.headers {
		r.Header.Set(h[0], h[1])
	}
	response, err := wharfmemnet.Client().Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return reply{
		status: response.StatusCode, body: string(body), err: err,
		outcome: response.Header.Get(wharfwire.HeaderOutcome), reason: response.Header.Get(wharfwire.HeaderReason),
	}
}

// effects counts how often a request with each key took effect at a target.
type effects struct {
	mu     sync.Mutex
	counts map[string]int
}

func (e *effects) add(key string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.counts == nil {
		e.counts = map[string]int{}
	}
	e.counts[key]++
	return e.counts[key]
}

func (e *effects) get(key string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts[key]
}

// book is a handler that counts an effect of the request's key, and responds
// with the key and its count.
func (e *effects) book(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get(wharfwire.HeaderIdempotencyKey)
	_, _ = fmt.Fprintf(w, "booked %s, effect %d", key, e.add(key))
}

func hello(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "hello")
}

// closeWithoutResponse closes the connection without a response.
func closeWithoutResponse(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// expireBefore deletes the records before an offset, as retention does.
func (f *faultyLog) expireBefore(offset uint64) {
	f.DropBefore(wharfstate.StateStream, offset)
}
