package wharfpeers

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"ragwortwharf.dev/wharf/wharfsocket"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

const (
	// idleTimeout is how long an unused connection keeps its transport open.
	idleTimeout = time.Minute
	// connectTimeout bounds the set-up of a connection.
	connectTimeout = 500 * time.Millisecond
	// keepaliveTime and keepaliveTimeout detect peers that became unreachable
	// without closing the connection.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 2 * time.Second
	// streamWindow is the flow control window of one RPC in bytes. It bounds the
	// memory of the RPC.
	streamWindow = 256 << 10
	// connWindow is the flow control window of a connection in bytes. It bounds
	// the memory of the connection.
	connWindow = 4 << 20
	// MaxMessage is the maximum size of a message between nodes in bytes.
	MaxMessage = 16 << 20
	poolShards = 16
)

// Pool holds one connection for each peer address. The zero Pool is ready to use.
// It is safe for concurrent use.
type Pool struct {
	// SelfAddress is the address by which other nodes reach this node, and
	// ListenAddress is the address on which it listens. A connection to SelfAddress
	// is made to ListenAddress, if that is set, so that it doesn't leave the VM.
	SelfAddress, ListenAddress string

	shards [poolShards]poolShard
}

type poolShard struct {
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

func (p *Pool) shard(address string) *poolShard {
	return &p.shards[xxhash.Sum64String(address)%poolShards]
}

// Client returns a client of the node at an address. The pool owns its connection.
// The connection is set up by the first RPC.
func (p *Pool) Client(address string) (wharfwire.NodeClient, error) {
	conn, err := p.conn(address)
	if err != nil {
		return nil, err
	}
	return wharfwire.NewNodeClient(conn), nil
}

func (p *Pool) conn(address string) (*grpc.ClientConn, error) {
	s := p.shard(address)
	s.mu.Lock()
	defer s.mu.Unlock()
	if conn, ok := s.conns[address]; ok {
		return conn, nil
	}
	target := address
	if address == p.SelfAddress && p.ListenAddress != "" {
		target = p.ListenAddress
	}
	conn, err := dial(target)
	if err != nil {
		return nil, oops.Code("peer-address").Wrap(err)
	}
	if s.conns == nil {
		s.conns = make(map[string]*grpc.ClientConn)
	}
	s.conns[address] = conn
	return conn, nil
}

func dial(address string) (*grpc.ClientConn, error) {
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		// Only the node decides about retries. The library would resend an RPC
		// whose stream was refused.
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 2 * time.Second},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithInitialWindowSize(streamWindow),
		grpc.WithInitialConnWindowSize(connWindow),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessage), grpc.MaxCallSendMsgSize(MaxMessage)),
	}
	if n := wharfsocket.Replacement(); n != nil {
		options = append(options, grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return n.DialContext(ctx, "tcp", address)
		}))
	}
	return grpc.NewClient("passthrough:///"+address, options...)
}

// ServerOptions returns the gRPC server options of a node, which match the client
// options of the pool.
func ServerOptions(log wharfevents.Log) []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.UnaryInterceptor(recovery{log}.intercept),
		grpc.InitialWindowSize(streamWindow),
		grpc.InitialConnWindowSize(connWindow),
		grpc.MaxRecvMsgSize(MaxMessage),
		grpc.MaxSendMsgSize(MaxMessage),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2, PermitWithoutStream: true}),
	}
}

// recovery ends a request whose handler panics. gRPC runs handlers in goroutines of its own, in
// which a panic ends the process.
type recovery struct {
	log wharfevents.Log
}

func (r recovery) intercept(ctx context.Context, request any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (response any, err error) {
	defer func() {
		if p := recover(); p != nil {
			response, err = nil, status.Error(codes.Internal, "the node failed to handle the request")
			r.log.EmitPanic(info.FullMethod, p)
		}
	}()
	return handler(ctx, request)
}

// Close closes all connections.
func (p *Pool) Close() {
	for i := range p.shards {
		s := &p.shards[i]
		s.mu.Lock()
		for _, conn := range s.conns {
			_ = conn.Close()
		}
		s.conns = nil
		s.mu.Unlock()
	}
}

// Prune closes the connections to the addresses for which wanted returns false.
func (p *Pool) Prune(wanted func(address string) bool) {
	for i := range p.shards {
		s := &p.shards[i]
		s.mu.Lock()
		for address, conn := range s.conns {
			if !wanted(address) {
				_ = conn.Close()
				delete(s.conns, address)
			}
		}
		s.mu.Unlock()
	}
}
