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

// logClient is the platform's log as the mesh uses it.
type logClient interface {
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (wharfstream.Batch, error)
}

// directory is where nodes find each other.
type directory interface {
	Seeds(ctx context.Context) ([]string, error)
	Enter(ctx context.Context, self wharfmember.Member) error
	Remove(ctx context.Context, ended wharfmember.Member) error
}

const (
	// workers bounds the calls to other nodes that run at a time.
	workers = 16
	// callTimeout bounds one call to another node.
	callTimeout = time.Second
)

// Agent ties a node to the others and to the platform's log.
type Agent struct {
	View       *wharfview.View
	Peers      *wharfpeers.Pool
	Platform   logClient
	Registry   *wharftarget.Registry
	Quarantine *wharfquarantine.List
	Keys       *wharfidempotency.KeyStore
	Directory  directory
	// OwnsKeys says that this node is a home of keys that callers chose.
	OwnsKeys bool
	// Readers is how many nodes of a failure domain read the log, and PollWait
	// how long a read waits for records.
	Readers          int
	PollWait         time.Duration
	SnapshotInterval time.Duration
	TargetTimeout    time.Duration
	Log              wharfevents.Log
	Metrics          wharfevents.Metrics

	pool  pond.Pool
	audit auditTrail
	// urgent asks for a round at once, because there is news.
	urgent chan struct{}
	// releasing says that a planned stop gives up the ownership of keys.
	releasing atomic.Bool

	mu         sync.Mutex
	detector   wharfmember.FailureDetector
	updates    []memberUpdate
	departures departedNodes
}

// Prepare makes the mesh ready to be called. It comes before anything else, so
// that targets may announce themselves and nodes may call before Run.
func (m *Agent) Prepare() {
	m.pool = pond.NewPool(workers)
	m.urgent = make(chan struct{}, 1)
	m.audit.queue = make(chan AuditEntry, auditQueue)
}

// Run carries the mesh until the context ends.
func (m *Agent) Run(ctx context.Context) {
	var group sync.WaitGroup
	loops := []func(context.Context){
		(&rounds{mesh: m, rng: wharfrandom.New()}).run,
		(&follower{mesh: m, rng: wharfrandom.New()}).run,
		(&registration{mesh: m, rng: wharfrandom.New()}).run,
		(&expiry{mesh: m}).run,
		(&pauseDetector{mesh: m}).run,
		m.audit.writer(m).run,
	}
	if m.OwnsKeys {
		loops = append(loops, (&ownership{mesh: m}).run, (&snapshots{mesh: m}).run)
	}
	for _, loop := range loops {
		group.Go(func() { loop(ctx) })
	}
	group.Wait()
	m.pool.StopAndWait()
}

// TriggerRound asks for a round of exchanges at once.
func (m *Agent) TriggerRound() {
	select {
	case m.urgent <- struct{}{}:
	default:
	}
}
