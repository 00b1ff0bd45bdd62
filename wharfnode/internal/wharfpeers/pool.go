package wharfpeers

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"ragwortwharf.dev/wharf/wharfwire"
)

const (
	// idleTimeout closes the transport of a connection that isn't used.
	idleTimeout = time.Minute
	// connectTimeout bounds the set-up of a connection.
	connectTimeout = 500 * time.Millisecond
	// keepaliveTime and keepaliveTimeout find peers that vanished silently.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 2 * time.Second
	// streamWindow bounds the memory of one exchange under way, in bytes.
	streamWindow = 256 << 10
	// connWindow bounds the memory of a connection, in bytes.
	connWindow = 4 << 20
	// MaxMessage is the largest message between nodes, in bytes.
	MaxMessage = 16 << 20
	poolShards = 16
)

// Pool keeps one connection for each peer. The zero Pool is ready to use.
type Pool struct {
	// SelfAddress is the address that others reach this node by, and ListenAddress the one
	// that it listens on. Calls to itself don't leave the VM.
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

// Client returns a client of the node at an address. Nothing is sent yet.
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
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		// Retries are decided by this project alone. The library would resend
		// a call whose stream was refused.
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
	)
}

// ServerOptions returns the options of a node's server that match the pool.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.InitialWindowSize(streamWindow),
		grpc.InitialConnWindowSize(connWindow),
		grpc.MaxRecvMsgSize(MaxMessage),
		grpc.MaxSendMsgSize(MaxMessage),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2, PermitWithoutStream: true}),
	}
}

// Close ends all connections.
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

// Prune closes the connections to addresses that are no longer wanted.
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
