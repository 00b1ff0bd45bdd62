package wharfserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc"

	"ragwortwharf.dev/wharf/wharfbudget"
	"ragwortwharf.dev/wharf/wharfidempotency"
	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharfquarantine"
	"ragwortwharf.dev/wharf/wharfsocket"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/internal/wharfadmin"
	"ragwortwharf.dev/wharfnode/internal/wharfcluster"
	"ragwortwharf.dev/wharfnode/internal/wharfpeers"
	"ragwortwharf.dev/wharfnode/internal/wharfproxy"
	"ragwortwharf.dev/wharfnode/internal/wharftarget"
	"ragwortwharf.dev/wharfnode/internal/wharftransport"
	"ragwortwharf.dev/wharfnode/internal/wharfview"
	"ragwortwharf.dev/wharfnode/wharfevents"
	"ragwortwharf.dev/wharfnode/wharfsettings"
)

const (
	// maxHeaderBytes bounds the headers of a caller's request, in bytes.
	maxHeaderBytes = 64 << 10
	// readHeaderTimeout bounds the time that a caller takes for its headers.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout closes the connection of a caller that sends nothing.
	idleTimeout = 2 * time.Minute
	// drainPoll is how often a planned stop looks for requests in flight.
	drainPoll = 20 * time.Millisecond
	// propagationTime is what a planned stop gives the others to learn of it.
	propagationTime = 300 * time.Millisecond
)

// Node is one process of the system.
type Node struct {
	settings wharfsettings.Settings
	log      wharfevents.Log
	view     *wharfview.View
	peers    *wharfpeers.Pool
	mesh     *wharfcluster.Agent
	target   *wharftarget.Server
	entry    *wharfproxy.Proxy
	caller   *http.Server
	admin    *http.Server
	grpc     *grpc.Server
	metrics  wharfevents.Metrics
	parts    Options
	registry *wharftarget.Registry
	stopping atomic.Bool
	// transport carries calls to other nodes, and peer serves what they send.
	transport *wharftransport.Client
	peer      *http.Server
}

// nodeService joins the parts that answer other nodes.
type nodeService struct {
	wharfwire.UnimplementedNodeServer
	*wharftarget.Server
	mesh *wharfcluster.Agent
}

// Exchange answers the exchange of another node.
func (s nodeService) Exchange(ctx context.Context, r *wharfwire.ExchangeRequest) (*wharfwire.ExchangeResponse, error) {
	return s.mesh.Exchange(ctx, r)
}

// Consult answers a question about a key and closes it here.
func (s nodeService) Consult(ctx context.Context, r *wharfwire.ConsultRequest) (*wharfwire.ConsultResponse, error) {
	return s.Server.Consult(ctx, r)
}

// Suspect takes what another node knows of requests that crash targets.
func (s nodeService) Suspect(ctx context.Context, r *wharfwire.SuspectRequest) (*wharfwire.SuspectResponse, error) {
	return s.Server.Suspect(ctx, r)
}

// HandOver takes the records of keys of a home that is leaving.
func (s nodeService) HandOver(ctx context.Context, r *wharfwire.HandOverRequest) (*wharfwire.HandOverResponse, error) {
	return s.Server.HandOver(ctx, r)
}

// New puts a node together. Nothing listens yet.
func New(settings wharfsettings.Settings, log wharfevents.Log) *Node {
	return NewWithOptions(settings, log, Options{})
}

// NewWithOptions puts a node together from parts that take the place of its own.
func NewWithOptions(settings wharfsettings.Settings, log wharfevents.Log, parts Options) *Node {
	parts = parts.withDefaults(settings)
	self := wharfmember.Member{
		Node:          settings.NodeID(),
		Incarnation:   uint64(time.Now().UnixMilli()),
		Version:       1,
		Address:       settings.Advertise,
		FailureDomain: settings.FailureDomain,
		Region:        settings.Region,
	}
	n := &Node{
		settings: settings, log: log, parts: parts, view: wharfview.New(self),
		peers: &wharfpeers.Pool{SelfAddress: settings.Advertise, ListenAddress: settings.LocalNode()},
	}
	metrics := wharfevents.NewMetrics()
	n.metrics = metrics
	registry := wharftarget.NewRegistry(settings.Variant, log)
	n.registry = registry
	ledger, quarantine, keys := &wharfbudget.Ledger{}, &wharfquarantine.List{}, &wharfidempotency.KeyStore{}
	n.mesh = &wharfcluster.Agent{
		View: n.view, Peers: n.peers, Platform: parts.Log,
		Registry: registry, Quarantine: quarantine, Keys: keys, Directory: parts.Directory,
		OwnsKeys: !parts.WithoutKeys, Readers: parts.Readers, PollWait: parts.PollWait,
		SnapshotInterval: settings.SnapshotInterval, TargetTimeout: settings.TargetTimeout,
		Log: log, Metrics: metrics,
	}
	n.mesh.Prepare()
	pressure := &wharftarget.BackpressureGuard{Enabled: settings.Backpressure}
	n.target = &wharftarget.Server{
		View: n.view, Registry: registry, Backpressure: pressure, Ledger: ledger, Quarantine: quarantine, Keys: keys,
		Consulter: n.mesh, Broadcaster: n.mesh, Auditor: n.mesh, Protocol: parts.Protocol, RefusesAfterCrash: parts.RefusesAfterCrash,
		Log: log, Metrics: metrics,
	}
	n.transport = &wharftransport.Client{SelfAddress: settings.Advertise, Receiver: n.target, Log: log}
	n.entry = &wharfproxy.Proxy{
		View: n.view, Transport: n.transport, Backpressure: pressure, Ledger: ledger, Quarantine: quarantine, Consulter: n.mesh,
		Protocol: parts.Protocol, RepeatLimit: settings.RepeatLimit(), Variant: settings.Variant, Log: log, Metrics: metrics,
	}
	api := &wharfadmin.API{
		View: n.view, Registry: registry, Proxy: n.entry, Ledger: ledger, Keys: keys, Quarantine: quarantine,
		Targets: n, Auditor: n.mesh, Log: log, Metrics: metrics,
	}
	n.caller = newHTTPServer(n.entry)
	n.admin = newHTTPServer(api.Handler())
	n.grpc = grpc.NewServer(wharfpeers.ServerOptions()...)
	wharfwire.RegisterNodeServer(n.grpc, nodeService{Server: n.target, mesh: n.mesh})
	n.peer = newHTTPServer(peerHandler{calls: wharftransport.Handler{Receiver: n.target}, control: n.grpc})
	n.publish(metrics, keys)
	return n
}

// publish registers the values that are read when metrics are asked for.
func (n *Node) publish(metrics wharfevents.Metrics, keys *wharfidempotency.KeyStore) {
	metrics.Gauge("wharf_state_offset", func() float64 { return float64(n.view.State().Offset()) })
	metrics.Gauge("wharf_keys", func() float64 { return float64(keys.Len()) })
	metrics.Gauge("wharf_key_bytes", func() float64 { return float64(keys.Bytes()) })
	metrics.Gauge("wharf_calls_in_flight", func() float64 { return float64(n.entry.Calls()) })
	if n.log.Dropped != nil {
		metrics.Gauge("wharf_log_lines_dropped", func() float64 { return float64(n.log.Dropped()) })
	}
	metrics.Gauge("wharf_members", func() float64 { return float64(n.view.KnownNodes()) })
}

func newHTTPServer(h http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		Protocols:         protocols,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
}

// Run serves until the context ends, and then stops without cutting off
// requests in flight.
func (n *Node) Run(ctx context.Context) error {
	listeners, err := n.listen(ctx)
	if err != nil {
		return err
	}
	var group sync.WaitGroup
	defer group.Wait()
	group.Go((&service{n.caller, listeners[0]}).run)
	group.Go((&service{n.admin, listeners[1]}).run)
	group.Go((&service{n.peer, listeners[2]}).run)
	meshCtx, stopMesh := context.WithCancel(context.WithoutCancel(ctx))
	defer stopMesh()
	group.Go(func() { n.mesh.Run(meshCtx) })
	n.log.Emit(wharfevents.NodeStarted,
		wharfevents.Field{Name: "node", Value: n.view.Node()},
		wharfevents.Field{Name: "callers", Value: n.settings.CallerListen},
		wharfevents.Field{Name: "admin", Value: n.settings.AdminListen})
	<-ctx.Done()
	n.stop(context.WithoutCancel(ctx))
	stopMesh()
	return nil
}

func (n *Node) listen(ctx context.Context) ([]net.Listener, error) {
	var listeners []net.Listener
	var faults []error
	for _, address := range []string{n.settings.CallerListen, n.settings.AdminListen, n.settings.NodeListen} {
		l, err := wharfsocket.ListenConfig().Listen(ctx, "tcp", address)
		if err != nil {
			n.log.Emit(wharfevents.ListenFailed, wharfevents.ErrorField(err))
			faults = append(faults, oops.Code("listen").Wrap(err))
			continue
		}
		listeners = append(listeners, l)
	}
	if len(faults) == 0 {
		return listeners, nil
	}
	for _, l := range listeners {
		_ = l.Close()
	}
	return nil, errors.Join(faults...)
}

// peerHandler serves what other nodes send: calls over HTTP/1.1, and gRPC.
type peerHandler struct {
	calls   http.Handler
	control *grpc.Server
}

// ServeHTTP tells the two by the protocol.
func (h peerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.ProtoMajor == 2:
		h.control.ServeHTTP(w, r)
	case r.URL.Path == wharftransport.Path:
		h.calls.ServeHTTP(w, r)
	default:
		http.NotFound(w, r)
	}
}

// service is a server with the address that it listens on.
type service struct {
	server   *http.Server
	listener net.Listener
}

// run serves until the server is shut down, which is when Serve returns.
func (s *service) run() {
	_ = s.server.Serve(s.listener)
}
