package wharfserver

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc"

	"ragwortwharf.dev/wharf/wharfbudget"
	"ragwortwharf.dev/wharf/wharfconnection"
	"ragwortwharf.dev/wharf/wharfidempotency"
	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfquarantine"
	"ragwortwharf.dev/wharf/wharfsocket"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/internal/wharfadmin"
	"ragwortwharf.dev/wharfnode/internal/wharfallocator"
	"ragwortwharf.dev/wharfnode/internal/wharfcallers"
	"ragwortwharf.dev/wharfnode/internal/wharfcluster"
	"ragwortwharf.dev/wharfnode/internal/wharfpeers"
	"ragwortwharf.dev/wharfnode/internal/wharfprocessor"
	"ragwortwharf.dev/wharfnode/internal/wharfproxy"
	"ragwortwharf.dev/wharfnode/internal/wharftarget"
	"ragwortwharf.dev/wharfnode/internal/wharftransport"
	"ragwortwharf.dev/wharfnode/internal/wharfview"
	"ragwortwharf.dev/wharfnode/wharfevents"
	"ragwortwharf.dev/wharfnode/wharfmemory"
	"ragwortwharf.dev/wharfnode/wharfsettings"
)

const (
	// maxHeaderBytes bounds the headers of a request, in bytes. It and the next
	// two bounds apply to the caller, admin and peer servers.
	maxHeaderBytes = wharfcallers.MaxHeadBytes
	// readHeaderTimeout bounds the time that a client takes to send its
	// headers.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 2 * time.Minute
	// startPatience is the time after the start in which no request in flight is given up for
	// the silence of another node. The process before this one may have been stopped as planned,
	// which callers must not notice, and the usual latency of the others isn't known yet.
	startPatience = 4 * time.Second
	// fullRetryAfter is the retry-after hint of a call that is refused because there are
	// too many at once. Most calls end within that time.
	fullRetryAfter = 250 * time.Millisecond
	// drainPoll is the interval at which a planned stop checks for requests in
	// flight.
	drainPoll = 20 * time.Millisecond
	// propagationTime is how long a planned stop waits for gossip to propagate
	// the state "left" to the other nodes.
	propagationTime = 300 * time.Millisecond
)

// Node is one wharfnode process with all its servers and background tasks.
type Node struct {
	settings wharfsettings.Settings
	log      wharfevents.Log
	view     *wharfview.View
	peers    *wharfpeers.Pool
	agent    *wharfcluster.Agent
	target   *wharftarget.Server
	quotas   *wharfallocator.Service
	proxy    *wharfproxy.Proxy
	caller   *http.Server
	admin    *http.Server
	grpc     *grpc.Server
	metrics  wharfevents.Metrics
	options  Options
	registry *wharftarget.Registry
	stopping atomic.Bool
	// transport sends calls to other nodes, and peer serves the calls and gRPC
	// requests of other nodes.
	transport *wharftransport.Client
	peer      *http.Server
	// endCallers ends the requests of callers with a cause.
	endCallers context.CancelCauseFunc
	fromNodes  *acceptedConnections
	// memory counts what the node holds for others, and monitor logs when it is short.
	memory  *wharfbudget.Memory
	passes  *wharfcallers.Passes
	monitor *wharfmemory.Monitor
}

// nodeService implements the gRPC service Node with the cluster agent and the
// target server.
type nodeService struct {
	wharfwire.UnimplementedNodeServer
	*wharftarget.Server
	agent  *wharfcluster.Agent
	quotas *wharfallocator.Service
}

// Allocate grants tokens of the quotas of client accounts to another node.
func (s nodeService) Allocate(ctx context.Context, r *wharfwire.AllocateRequest) (*wharfwire.AllocateResponse, error) {
	return s.quotas.Allocate(ctx, r)
}

// TakeOver releases shards of the quotas to another node.
func (s nodeService) TakeOver(ctx context.Context, r *wharfwire.TakeOverRequest) (*wharfwire.TakeOverResponse, error) {
	return s.quotas.TakeOver(ctx, r)
}

// Exchange serves a gossip exchange that another node started.
func (s nodeService) Exchange(ctx context.Context, r *wharfwire.ExchangeRequest) (*wharfwire.ExchangeResponse, error) {
	return s.agent.Exchange(ctx, r)
}

// Consult returns this node's record of an idempotency key to the key's new
// owner, and closes the key: this node then dispatches no request with the key
// unless it becomes the owner again.
func (s nodeService) Consult(ctx context.Context, r *wharfwire.ConsultRequest) (*wharfwire.ConsultResponse, error) {
	return s.Server.Consult(ctx, r)
}

// Suspect merges another node's suspicions about requests that crash targets.
func (s nodeService) Suspect(ctx context.Context, r *wharfwire.SuspectRequest) (*wharfwire.SuspectResponse, error) {
	return s.Server.Suspect(ctx, r)
}

// HandOver merges the key records of an owner that is leaving.
func (s nodeService) HandOver(ctx context.Context, r *wharfwire.HandOverRequest) (*wharfwire.HandOverResponse, error) {
	return s.Server.HandOver(ctx, r)
}

// New assembles a node with the default options. The node listens only once Run
// is called.
func New(settings wharfsettings.Settings, log wharfevents.Log) *Node {
	return NewWithOptions(settings, log, Options{})
}

// NewWithOptions assembles a node in which the set options replace the
// defaults.
func NewWithOptions(settings wharfsettings.Settings, log wharfevents.Log, options Options) *Node {
	options = options.withDefaults(settings)
	self := wharfmember.Member{
		Node:          settings.NodeID(),
		Incarnation:   uint64(time.Now().UnixMilli()),
		Version:       1,
		Address:       settings.Advertise,
		FailureDomain: settings.FailureDomain,
		Region:        settings.Region,
	}
	n := &Node{
		settings: settings, log: log, options: options, view: wharfview.New(self),
		memory: &wharfbudget.Memory{},
		peers:  &wharfpeers.Pool{SelfAddress: settings.Advertise, ListenAddress: settings.LocalNode()},
	}
	metrics := wharfevents.NewMetrics()
	n.metrics = metrics
	registry := wharftarget.NewRegistry(settings.Variant, log)
	n.registry = registry
	ledger, quarantine, keys := &wharfbudget.Ledger{}, &wharfquarantine.List{}, &wharfidempotency.KeyStore{}
	n.agent = &wharfcluster.Agent{
		View: n.view, Peers: n.peers, LogClient: options.Log,
		Registry: registry, Quarantine: quarantine, Keys: keys, Directory: options.Directory, DepartedTargets: options.DepartedTargets,
		OwnsKeys: !options.NoCallerKeys, Readers: options.Readers, PollWait: options.PollWait,
		MaxStateAge: options.MaxStateAge, ReadRate: options.ReadRate,
		SnapshotInterval: settings.SnapshotInterval, TargetTimeout: settings.TargetTimeout,
		Log: log, Metrics: metrics,
	}
	n.agent.Prepare()
	backpressure := &wharftarget.BackpressureGuard{Enabled: settings.Backpressure, AdmitCompleted: settings.AdmitCompleted}
	processor := &wharfprocessor.Meter{Log: log, Metrics: metrics}
	n.target = &wharftarget.Server{
		View: n.view, Registry: registry, Backpressure: backpressure, Processor: processor, Ledger: ledger, Quarantine: quarantine, Keys: keys,
		Consulter: n.agent, Broadcaster: n.agent, Auditor: n.agent, LeavingTargets: n, Protocol: options.Protocol, CrashedTargetRefusesConnections: options.CrashedTargetRefusesConnections,
		RepeatLimit: settings.TargetRepeatLimit(),
		Log:         log, Metrics: metrics,
	}
	n.quotas = &wharfallocator.Service{
		View: n.view, Peers: n.peers, Cluster: n.agent, Leases: options.Leases, Terms: options.QuotaTerms, Shards: options.QuotaShards,
		Log: log, Metrics: metrics,
	}
	n.quotas.Prepare()
	n.transport = &wharftransport.Client{SelfAddress: settings.Advertise, Receiver: n.target, Log: log}
	n.proxy = &wharfproxy.Proxy{
		View: n.view, Transport: n.transport, Backpressure: backpressure, Ledger: ledger, Quarantine: quarantine, Consulter: n.agent,
		Protocol: options.Protocol, RepeatLimit: settings.RepeatLimit(), Variant: settings.Variant, Memory: n.memory, Log: log, Metrics: metrics,
		MaxKeyAge: options.MaxKeyAge, ChangeTime: options.ChangeTime, Quotas: n.quotas,
	}
	api := &wharfadmin.API{
		View: n.view, Registry: registry, Proxy: n.proxy, Ledger: ledger, Keys: keys, Quarantine: quarantine,
		Registrar: n, Auditor: n.agent, Log: log, Metrics: metrics,
	}
	n.monitor = &wharfmemory.Monitor{Log: log, Read: wharfmemory.Read, Holders: n.memoryHolders}
	n.caller = newHTTPServer(n.proxy, processor)
	n.passes = wharfcallers.NewPasses(n.memory, options.Memory)
	var callers context.Context
	callers, n.endCallers = context.WithCancelCause(context.Background())
	n.caller.BaseContext = func(net.Listener) context.Context { return callers }
	n.caller.ConnContext, n.caller.ConnState = wharfcallers.ConnContext, n.passes.ConnState
	n.LimitMemory(options.Memory)
	n.admin = newHTTPServer(api.Handler(), processor)
	n.fromNodes = newAcceptedConnections(wharfconnection.Limits{Kept: settings.NodeConnections}, n.memory, log)
	n.grpc = grpc.NewServer(wharfpeers.ServerOptions(log)...)
	wharfwire.RegisterNodeServer(n.grpc, nodeService{Server: n.target, agent: n.agent, quotas: n.quotas})
	n.peer = newHTTPServer(peerHandler{
		calls:   wharftransport.Handler{Receiver: remoteCalls{n.target, n.fromNodes}, CloseConnection: n.fromNodes.surplus},
		control: n.grpc, memory: n.memory,
	}, processor)
	n.fromNodes.attach(n.peer)
	n.registerGauges(metrics, keys)
	n.registerMemoryGauges(metrics)
	return n
}

// SetNodeConnections sets how many connections of other nodes the node holds.
func (n *Node) SetNodeConnections(limits wharfconnection.Limits) {
	n.fromNodes.setLimits(limits)
}

// registerGauges registers the gauges, whose values are read at each scrape of
// the metrics.
func (n *Node) registerGauges(metrics wharfevents.Metrics, keys *wharfidempotency.KeyStore) {
	metrics.Gauge("wharf_state_offset", func() float64 { return float64(n.view.State().Offset()) })
	metrics.Gauge("wharf_routes_version", func() float64 { return float64(n.view.State().Routes().Version()) })
	metrics.Gauge("wharf_state_age_seconds", n.stateAge)
	metrics.Gauge("wharf_suspected_requests", func() float64 { return float64(n.agent.Quarantine.Counts(time.Now()).Suspected) })
	metrics.Gauge("wharf_quarantined_requests", func() float64 { return float64(n.agent.Quarantine.Counts(time.Now()).Quarantined) })
	metrics.Gauge("wharf_keys", func() float64 { return float64(keys.Len()) })
	metrics.Gauge("wharf_key_bytes", func() float64 { return float64(keys.Bytes()) })
	metrics.Gauge("wharf_calls_in_flight", func() float64 { return float64(n.proxy.InFlight()) })
	metrics.Gauge("wharf_connections{kind=\"from-nodes\"}", func() float64 { return float64(n.fromNodes.open.Load()) })
	metrics.Gauge("wharf_connections{kind=\"to-nodes\"}", func() float64 { return float64(n.transport.Connections()) })
	metrics.Gauge("wharf_connections{kind=\"to-targets\"}", func() float64 { return float64(n.target.Connections()) })
	metrics.Gauge("wharf_connections_accepted_total{kind=\"from-nodes\"}", func() float64 { return float64(n.fromNodes.accepted.Load()) })
	metrics.Gauge("wharf_connections_limit{kind=\"from-nodes\"}", func() float64 { return float64(n.fromNodes.connections().Kept) })
	metrics.Gauge("wharf_requests_active{kind=\"from-nodes\"}", func() float64 { return float64(n.fromNodes.active.Load()) })
	if n.log.Dropped != nil {
		metrics.Gauge("wharf_log_lines_dropped", func() float64 { return float64(n.log.Dropped()) })
	}
	metrics.Gauge("wharf_members", func() float64 { return float64(n.view.KnownNodes()) })
}

// stateAge returns the time since the state was last confirmed to be complete, in
// seconds, or NaN if it never was.
func (n *Node) stateAge() float64 {
	confirmedAt := n.view.ConfirmedAt()
	if confirmedAt.IsZero() {
		return math.NaN()
	}
	return time.Since(confirmedAt).Seconds()
}

func newHTTPServer(h http.Handler, processor *wharfprocessor.Meter) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           yieldingHandler{h, processor},
		Protocols:         protocols,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
}

// Run serves until ctx is done. It then makes a planned stop, which lets
// requests in flight finish within the stop timeout. It returns an error only
// if the node can't listen on one of its addresses.
func (n *Node) Run(ctx context.Context) error {
	listeners, err := n.listen(ctx)
	if err != nil {
		return err
	}
	n.transport.KeepCallsUntil(time.Now().Add(startPatience))
	// The agent opens connections to other nodes until it has ended.
	defer n.peers.Close()
	var group sync.WaitGroup
	defer group.Wait()
	group.Go((&listeningServer{n.caller, n.passes.Listen(listeners[0])}).run)
	group.Go((&listeningServer{n.admin, listeners[1]}).run)
	group.Go((&listeningServer{n.peer, newLimitedListener(listeners[2], n.fromNodes)}).run)
	agentCtx, stopAgent := context.WithCancel(context.WithoutCancel(ctx))
	defer stopAgent()
	group.Go(func() { n.agent.Run(agentCtx) })
	group.Go(func() { n.quotas.Run(agentCtx) })
	group.Go(func() { n.monitor.Run(agentCtx) })
	n.log.Emit(wharfevents.NodeStarted,
		wharfevents.Field{Name: "node", Value: n.view.Node()},
		wharfevents.Field{Name: "callers", Value: n.settings.CallerListen},
		wharfevents.Field{Name: "admin", Value: n.settings.AdminListen})
	<-ctx.Done()
	n.stop(context.WithoutCancel(ctx))
	stopAgent()
	return nil
}

// listen opens the listeners of the caller, admin and peer servers, in this
// order.
func (n *Node) listen(ctx context.Context) ([]net.Listener, error) {
	var listeners []net.Listener
	var errs []error
	for _, address := range []string{n.settings.CallerListen, n.settings.AdminListen, n.settings.NodeListen} {
		l, err := n.listenAt(ctx, address)
		if err != nil {
			n.log.Emit(wharfevents.ListenFailed, wharfevents.ErrorField(err))
			errs = append(errs, oops.Code("listen").Wrap(err))
			continue
		}
		listeners = append(listeners, l)
	}
	if len(errs) == 0 {
		return listeners, nil
	}
	for _, l := range listeners {
		_ = l.Close()
	}
	return nil, errors.Join(errs...)
}

// listenAt opens a listener. If memory is limited, that of the callers receives few bytes
// before they are read, because those count as memory of the node.
func (n *Node) listenAt(ctx context.Context, address string) (net.Listener, error) {
	if address == n.settings.AdminListen {
		return wharfsocket.Listen(ctx, address)
	}
	receiveBytes := 0
	if n.options.Memory > 0 && address == n.settings.CallerListen {
		receiveBytes = wharfcallers.ReceiveBytes
	}
	return wharfsocket.ListenForReaders(ctx, address, receiveBytes)
}

// peerHandler serves the requests of other nodes: calls over HTTP/1.1, and gRPC
// over HTTP/2.
type peerHandler struct {
	calls   http.Handler
	control *grpc.Server
	memory  *wharfbudget.Memory
}

// ServeHTTP passes HTTP/2 requests to the gRPC server and the others to the
// call handler.
func (h peerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The deadline of an earlier call on the connection doesn't bound this response.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	switch {
	case r.ProtoMajor == 2:
		h.control.ServeHTTP(w, r)
	case r.URL.Path == wharftransport.Path:
		bytes := max(r.ContentLength, 0)
		h.memory.Hold(wharfbudget.NodeCalls, bytes)
		defer h.memory.Release(wharfbudget.NodeCalls, bytes)
		h.calls.ServeHTTP(w, r)
	case r.URL.Path == wharftransport.ProbePath:
		w.WriteHeader(http.StatusNoContent)
	default:
		http.NotFound(w, r)
	}
}

// remoteCalls serves the calls of other nodes, and refuses them while there are too many.
type remoteCalls struct {
	target      *wharftarget.Server
	connections *acceptedConnections
}

// Call serves one call.
func (c remoteCalls) Call(stream wharftransport.ServerStream) error {
	if c.connections.refuses() {
		return c.target.Refuse(stream, wharfoutcome.Refuse(wharfoutcome.ReasonMemory).WithRetryAfter(fullRetryAfter))
	}
	return c.target.Call(stream)
}

// listeningServer is an HTTP server with its listener.
type listeningServer struct {
	server   *http.Server
	listener net.Listener
}

// run serves until the server is shut down. The error of Serve is ignored,
// because Serve returns one after every shutdown.
func (s *listeningServer) run() {
	_ = s.server.Serve(s.listener)
}
