package wharfallocator

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharfquota"
	"ragwortwharf.dev/wharf/wharfroute"
	"ragwortwharf.dev/wharfnode/internal/wharfclock"
	"ragwortwharf.dev/wharfnode/internal/wharfpeers"
	"ragwortwharf.dev/wharfnode/internal/wharfview"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

// leases assigns the shards to the members of a group.
type leases interface {
	Join(ctx context.Context, member string, ttl time.Duration, generation uint64) (uint64, []int, error)
	Leave(ctx context.Context, member string) error
	// Record records which shards a member allocates in a generation, for a later process of it, and
	// Recorded returns what was recorded last.
	Record(ctx context.Context, member string, generation uint64, shards []int) error
	Recorded(ctx context.Context, member string) (generation uint64, shards []int, err error)
}

// cluster publishes the entry of this node.
type cluster interface {
	UpdateSelf(change func(m wharfmember.Member) wharfmember.Member)
	// Joined returns a channel that is closed once this node has tried to join the others.
	Joined() <-chan struct{}
}

// Service takes the requests of client accounts from their quotas. Its exported fields are set
// before Prepare and don't change afterwards. It is safe for concurrent use after Prepare.
type Service struct {
	View    *wharfview.View
	Peers   *wharfpeers.Pool
	Cluster cluster
	// Leases may be nil. Each node then has an equal share of each quota.
	Leases leases
	Terms  wharfquota.Terms
	// Shards is the number of shards, the same at all nodes. Zero means the default.
	Shards  int
	Log     wharfevents.Log
	Metrics wharfevents.Metrics

	clock     wharfclock.Clock
	allocator *wharfquota.Allocator
	client    *wharfquota.Client
	shares    shares
	directory directory
	group     group
	recorder  recorder
	// sequence is the number of the last request to an allocator.
	sequence atomic.Uint64
	// process is the incarnation with which this process started. The node may raise it.
	process uint64
	// stopped is closed when a planned stop begins.
	stopped  chan struct{}
	stopOnce sync.Once
	// requesters holds a requester for each allocator by its node ID.
	requesters sync.Map
	// calls bounds the requests to allocators. It ends with Run, which waits for them.
	calls    context.Context
	endCalls context.CancelFunc
	running  sync.WaitGroup
	reports  reports

	publishMu sync.Mutex
}

// Prepare initializes the service. It must be called before any other method.
func (s *Service) Prepare() {
	s.Terms = s.Terms.WithDefaults()
	if s.Shards <= 0 {
		s.Shards = wharfquota.DefaultShards
	}
	s.allocator, s.client = wharfquota.NewAllocator(s.Terms, s.Shards), wharfquota.NewClient(s.Shards)
	s.calls, s.endCalls = context.WithCancel(context.Background())
	s.sequence.Store(uint64(time.Now().UnixMicro()))
	s.process = s.View.Incarnation()
	s.stopped = make(chan struct{})
	s.shares.service, s.directory.service, s.group.service, s.recorder.service = s, s, s, s
	s.recorder.wake = make(chan struct{}, 1)
	s.group.gained = make(chan struct{}, 1)
	s.reports.log = s.Log
	if s.Leases != nil {
		s.registerGauges()
	}
}

func (s *Service) registerGauges() {
	s.Metrics.Gauge("wharf_quota_shards{state=\"allocated\"}", func() float64 { return float64(len(s.status().Allocated)) })
	s.Metrics.Gauge("wharf_quota_shards{state=\"waiting\"}", func() float64 { return float64(len(s.status().Waiting)) })
	s.Metrics.Gauge("wharf_quota_shards{state=\"ended\"}", func() float64 { return float64(len(s.status().Ended)) })
	s.Metrics.Gauge("wharf_quota_tokens_left", s.tokensLeft)
}

func (s *Service) status() wharfquota.Status {
	return s.allocator.Status(s.clock.Now())
}

// tokensLeft returns the tokens left of all accounts that this node allocates.
func (s *Service) tokensLeft() float64 {
	now, sum := s.clock.Now(), 0.0
	for _, a := range s.View.State().Routes().Set().Accounts {
		left, _ := s.allocator.Left(now, a.Name)
		sum += left
	}
	return sum
}

// Run joins the group of allocators while this node is one of those chosen for it, until the
// context ends. It does nothing without leases.
func (s *Service) Run(ctx context.Context) {
	if s.Leases == nil {
		return
	}
	defer s.running.Wait()
	defer s.endCalls()
	var group sync.WaitGroup
	group.Go(func() { s.group.run(ctx) })
	group.Go(func() { (&succession{service: s}).run(ctx) })
	group.Go(func() { s.recorder.run(ctx) })
	group.Go(func() { (&allowances{s}).run(ctx) })
	group.Wait()
}

// Stop begins the planned stop: this node leaves the group. It grants tokens until other nodes take
// its shards over.
func (s *Service) Stop() {
	s.stopOnce.Do(func() { close(s.stopped) })
}

// quota returns the quota in force of an account.
func (s *Service) quota(account string) wharfroute.Quota {
	a := s.View.State().Routes().Account(account)
	if a == nil {
		return wharfroute.Quota{}
	}
	return a.Quota
}

// publish tells the other nodes which shards they may ask this node for, if that has changed.
func (s *Service) publish() {
	s.publishMu.Lock()
	defer s.publishMu.Unlock()
	status := s.status()
	claims := status.Claims()
	if slices.Equal(s.View.SelfMember().QuotaShards, claims) {
		return
	}
	s.Cluster.UpdateSelf(func(m wharfmember.Member) wharfmember.Member { return m.WithQuotaShards(claims) })
	s.Log.Emit(wharfevents.ShardsChanged,
		wharfevents.Field{Name: "allocated", Value: len(status.Allocated)},
		wharfevents.Field{Name: "waiting", Value: len(status.Waiting)},
		wharfevents.Field{Name: "ended", Value: len(status.Ended)})
}
