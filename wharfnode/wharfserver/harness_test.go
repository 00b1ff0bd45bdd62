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
	"ragwortwharf.dev/wharf/wharfstate"
	"ragwortwharf.dev/wharf/wharfstream"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/internal/wharftest"
	"ragwortwharf.dev/wharfnode/wharfevents"
	"ragwortwharf.dev/wharfnode/wharfsettings"
)

// ports are those of this package.
var ports = wharftest.Ports{First: 11000}

// faultyLog is the platform's log with troubles.
type faultyLog struct {
	wharflog.Memory
	down atomic.Bool
	lose atomic.Int32
	// slow delays every call, in milliseconds.
	slow atomic.Int64
}

// trouble lets the faults act on a call.
func (f *faultyLog) trouble() error {
	time.Sleep(time.Duration(f.slow.Load()) * time.Millisecond)
	if f.down.Load() {
		return wharfstream.ErrUnavailable
	}
	return nil
}

func (f *faultyLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if err := f.trouble(); err != nil {
		return 0, err
	}
	offset, err := f.Memory.Append(ctx, stream, data)
	if err == nil && f.lose.Add(-1) >= 0 {
		return 0, wharfstream.ErrUncertain
	}
	return offset, err
}

func (f *faultyLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (wharfstream.Batch, error) {
	if err := f.trouble(); err != nil {
		return wharfstream.Batch{}, err
	}
	return f.Memory.Read(ctx, stream, from, limit, min(wait, 100*time.Millisecond))
}

// publish appends a change with documents.
func (f *faultyLog) publish(t *testing.T, id string, documents ...wharfconfig.Document) {
	t.Helper()
	change := wharfconfig.Change{ID: id, Author: "test"}
	for _, d := range documents {
		change.Edits = append(change.Edits, wharfconfig.Edit{Key: d.Key(), Document: &d})
	}
	data, err := wharfstate.Envelope{Change: &change}.Encode()
	if err == nil {
		_, err = f.Memory.Append(context.Background(), wharfstate.Stream, data)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// mesh is a log and some nodes in this process.
type mesh struct {
	t       *testing.T
	log     *faultyLog
	nodes   []*testNode
	variant wharfsettings.Variant
	// snapshotInterval is that of the nodes started from now on.
	snapshotInterval time.Duration
}

type testNode struct {
	*Node
	caller, admin string
	// link and logLink are the ways from others to this node, and from it to
	// the log.
	link, logLink *link
	stop          context.CancelFunc
	ended         chan struct{}
}

func newMesh(t *testing.T) *mesh {
	t.Helper()
	return &mesh{
		t: t, log: &faultyLog{}, snapshotInterval: time.Hour,
		variant: wharfsettings.Variant{Limiter: "aimd", QueueOrder: "adaptive", Levels: true, Retries: "budgeted"},
	}
}

// start starts a node in a failure domain.
func (m *mesh) start(domain string) *testNode {
	m.t.Helper()
	server := httptest.NewServer(wharflog.Handler(m.log))
	m.t.Cleanup(server.Close)
	logLink := newLink(m.t, strings.TrimPrefix(server.URL, "http://"))
	listen := ports.Address(m.t)
	nodeLink := newLink(m.t, listen)
	s := wharfsettings.Settings{
		CallerListen: ports.Address(m.t), NodeListen: listen, AdminListen: ports.Address(m.t),
		Advertise: nodeLink.address, FailureDomain: domain, Region: "r", LogURL: "http://" + logLink.address,
		StopTimeout: time.Minute, SnapshotInterval: m.snapshotInterval, TargetTimeout: time.Hour, Variant: m.variant,
		RepeatRatio: 0.1, RepeatSlack: 64, RepeatWindow: 10 * time.Second,
	}
	for _, n := range m.nodes {
		s.Seeds = append(s.Seeds, n.settings.Advertise)
	}
	n := m.run(s, nodeLink, logLink)
	m.nodes = append(m.nodes, n)
	return n
}

// restart stops a node and starts it again at its addresses. It knows no seed.
func (m *mesh) restart(n *testNode) *testNode {
	m.t.Helper()
	n.stop()
	<-n.ended
	s := n.settings
	s.Seeds = nil
	again := m.run(s, n.link, n.logLink)
	m.nodes[slices.Index(m.nodes, n)] = again
	return again
}

// run runs a node until the end of the test.
func (m *mesh) run(s wharfsettings.Settings, nodeLink, logLink *link) *testNode {
	m.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	n := &testNode{
		Node: New(s.WithDefaults(), wharfevents.Log{}), stop: cancel, ended: make(chan struct{}),
		caller: "http://" + s.CallerListen, admin: "http://" + s.AdminListen, link: nodeLink, logLink: logLink,
	}
	go func() {
		defer close(n.ended)
		if err := n.Run(ctx); err != nil {
			m.t.Error(err)
		}
	}()
	m.t.Cleanup(func() {
		cancel()
		<-n.ended
	})
	wharftest.Eventually(m.t, "node serves", func() bool {
		r, err := http.Get(n.admin + "/wharf/v1/status")
		if err != nil {
			return false
		}
		_ = r.Body.Close()
		return true
	})
	return n
}

// announce makes a server the target of a service on a node.
func (m *mesh) announce(n *testNode, service, address string) {
	m.t.Helper()
	body, _ := json.Marshal(wharfmember.Target{Service: service, Address: address, Slots: 20})
	r, err := http.Post(n.admin+"/wharf/v1/targets", "application/json", bytes.NewReader(body))
	if err != nil {
		m.t.Fatal(err)
	}
	_ = r.Body.Close()
	if r.StatusCode != http.StatusOK {
		m.t.Fatal(r.Status)
	}
}

// serve starts a target on a node and waits until all nodes know it and its
// node is a home of keys.
func (m *mesh) serve(n *testNode, service string, handler http.HandlerFunc) *httptest.Server {
	m.t.Helper()
	server := httptest.NewServer(handler)
	m.t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	m.announce(n, service, address)
	wharftest.Eventually(m.t, "target is known everywhere", func() bool {
		for _, other := range m.nodes {
			found := false
			for _, target := range other.view.Targets(service) {
				found = found || target.Address == address
			}
			owned := false
			for _, o := range other.view.State().Ownership().Owners(service) {
				owned = owned || o.Node == n.view.Node()
			}
			if !found || !m.log.down.Load() && !owned {
				return false
			}
		}
		return true
	})
	return server
}

// reply is what a caller got.
type reply struct {
	status  int
	outcome string
	reason  string
	body    string
	err     error
}

// request is what a caller sends.
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
	response, err := http.DefaultClient.Do(r)
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

// effects counts how often each key took effect.
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

// book counts the effect of each key and answers with it.
func (e *effects) book(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get(wharfwire.HeaderIdempotencyKey)
	_, _ = fmt.Fprintf(w, "booked %s, effect %d", key, e.add(key))
}

func hello(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "hello")
}

// breakOff ends the connection without an answer.
func breakOff(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// expireBefore drops the records before an offset, as retention does.
func (f *faultyLog) expireBefore(offset uint64) {
	f.DropBefore(wharfstate.Stream, offset)
}
