package wharfcluster

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"

	"ragwortwharf.dev/wharf/wharfidempotency"
	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharfquarantine"
	"ragwortwharf.dev/wharf/wharfstream"
	"ragwortwharf.dev/wharfnode/internal/wharfpeers"
	"ragwortwharf.dev/wharfnode/internal/wharfrandom"
	"ragwortwharf.dev/wharfnode/internal/wharftarget"
	"ragwortwharf.dev/wharfnode/internal/wharfview"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

// logClient appends to and reads from the streams of the platform's log.
type logClient interface {
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (wharfstream.Batch, error)
}

// directory lists the nodes, so that nodes can find each other.
type directory interface {
	Seeds(ctx context.Context) ([]string, error)
	Register(ctx context.Context, self wharfmember.Member) error
	Remove(ctx context.Context, departed wharfmember.Member) error
}

const (
	// workers bounds the concurrent calls to other nodes.
	workers = 16
	// callTimeout bounds one call to another node.
	callTimeout = time.Second
)

// Agent connects a node to the other nodes and to the platform's log. Its
// exported fields are set before Prepare and don't change afterwards.
type Agent struct {
	View       *wharfview.View
	Peers      *wharfpeers.Pool
	LogClient  logClient
	Registry   *wharftarget.Registry
	Quarantine *wharfquarantine.List
	Keys       *wharfidempotency.KeyStore
	Directory  directory
	// DepartedTargets may be nil, if departures aren't kept.
	DepartedTargets departedTargets
	// OwnsKeys is whether this node owns keys that callers chose.
	OwnsKeys bool
	// Readers is how many nodes of a failure domain read the log, and PollWait
	// is how long a read waits for new records.
	Readers  int
	PollWait time.Duration
	// MaxStateAge is how long after the last confirmation of its state a node reads the log
	// itself. Nodes that do so together begin about ReadRate reads a second.
	MaxStateAge time.Duration
	ReadRate    int
	// SnapshotInterval is the time between two snapshots in the log.
	SnapshotInterval time.Duration
	// TargetTimeout is how long a target stays registered after its last
	// announcement.
	TargetTimeout time.Duration
	Log           wharfevents.Log
	Metrics       wharfevents.Metrics

	pool pond.Pool
	// broadcasts runs the calls that send suspicions.
	broadcasts pond.Pool
	// endPools makes both pools refuse further calls. Those that run end at their timeout,
	// or when the connections are closed.
	endPools context.CancelFunc
	audit    auditTrail
	// urgent triggers a gossip round at once. It buffers one request.
	urgent chan struct{}
	// registered is closed after the first attempt to write the directory entry of
	// this node, and joined after the first attempt to join the other nodes.
	registered, joined chan struct{}
	// compared is true once this node has got the state of another one whose keys are confirmed.
	compared atomic.Bool
	// releasing is set when a planned stop begins to release the ownership of
	// keys.
	releasing atomic.Bool

	mu       sync.Mutex
	detector wharfmember.FailureDetector
	updates  []memberUpdate
	departed departedNodes
	earlier  earlierProcesses
	// ahead is a node with a later state, from which the next round gets it.
	ahead string
	// refused holds the nodes whose entries were refused and logged.
	refused map[string]struct{}
}

// Prepare initializes the agent. It must be called before any other method.
// Targets can announce themselves and other nodes can call this node between
// Prepare and Run.
func (a *Agent) Prepare() {
	ctx, end := context.WithCancel(context.Background())
	a.endPools = end
	a.pool, a.broadcasts = pond.NewPool(workers, pond.WithContext(ctx)), newBroadcastPool(ctx)
	a.urgent = make(chan struct{}, 1)
	a.registered, a.joined = make(chan struct{}), make(chan struct{})
	a.audit.queue = make(chan AuditEntry, auditQueue)
}

// Run runs the loops of the agent until the context ends, and returns after
// all of them have stopped.
func (a *Agent) Run(ctx context.Context) {
	var group sync.WaitGroup
	loops := []func(context.Context){
		(&rounds{agent: a, rng: wharfrandom.New()}).run,
		(&follower{agent: a, rng: wharfrandom.New()}).run,
		(&registration{agent: a, rng: wharfrandom.New()}).run,
		(&expiry{agent: a}).run,
		(&pauseDetector{agent: a}).run,
		a.audit.writer(a).run,
	}
	if a.OwnsKeys {
		loops = append(loops, (&ownership{agent: a}).run, (&snapshots{agent: a}).run)
	}
	for _, loop := range loops {
		group.Go(func() { loop(ctx) })
	}
	group.Wait()
	a.endPools()
}

// Joined returns a channel that is closed after the first attempt to join the other nodes.
func (a *Agent) Joined() <-chan struct{} {
	return a.joined
}

// TriggerRound requests a gossip round at once. It doesn't block.
func (a *Agent) TriggerRound() {
	select {
	case a.urgent <- struct{}{}:
	default:
	}
}
