package wharfcluster

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharftimer"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

const (
	// roundInterval is the mean time between two gossip rounds.
	roundInterval = time.Second
	// minRoundInterval is the least time between two gossip rounds, also when a
	// round is triggered.
	minRoundInterval = 100 * time.Millisecond
	// updateTTL is how long a changed member entry is sent with each exchange.
	updateTTL = 3 * time.Second
	// maxUpdates bounds the changed member entries sent with one exchange.
	maxUpdates = 32
	// maxSyncs bounds the exchanges that sync the member tables with one peer
	// in one round.
	maxSyncs = 128
)

// memberUpdate is a member entry that changed recently.
type memberUpdate struct {
	member wharfmember.Member
	at     time.Time
}

// rounds runs the gossip rounds, each with a few peers.
type rounds struct {
	agent *Agent
	rng   *rand.Rand
	count int
	// sentOffset is the log offset up to which records were sent in earlier
	// rounds.
	sentOffset uint64
}

func (r *rounds) run(ctx context.Context) {
	r.agent.join(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-r.agent.urgent:
		}
		r.round(ctx)
		// The jitter keeps the rounds of different nodes out of step, so that
		// they don't all call the same node at once.
		pause := roundInterval/2 + time.Duration(r.rng.Int64N(int64(roundInterval)))
		timer.Reset(pause)
		if !wharftimer.Sleep(ctx, minRoundInterval) {
			return
		}
	}
}

// join announces this node to the seeds and merges the few members that each
// seed returns. The node gets all members and the state from those members
// later, so that nodes that start together don't all fetch everything from a
// few seeds.
func (m *Agent) join(ctx context.Context) {
	self := m.View.SelfMember()
	m.queueUpdates([]wharfmember.Member{self})
	seeds, err := m.Directory.Seeds(ctx)
	if err != nil {
		m.Log.Emit(wharfevents.DirectoryUnavailable, wharfevents.ErrorField(err))
	}
	for _, seed := range seeds {
		if seed == self.Address {
			continue
		}
		// An unreachable seed gets the entry of this node later, by gossip from
		// other nodes.
		_ = m.joinSeed(ctx, seed)
	}
}

func (r *rounds) round(ctx context.Context) {
	r.count++
	peers := r.agent.View.GossipPeers(r.count, r.rng)
	if len(peers) == 0 {
		r.agent.join(ctx)
		return
	}
	since := r.sentOffset
	r.sentOffset = r.agent.View.State().Offset()
	group := r.agent.pool.NewGroup()
	for _, p := range peers {
		group.Submit(func() {
			err := r.agent.exchange(ctx, p.Address, since)
			if ctx.Err() == nil {
				r.agent.recordExchange(p, err == nil)
			}
		})
	}
	for _, departed := range r.reprobes() {
		group.Submit(func() { r.agent.reprobe(ctx, departed, since) })
	}
	_ = group.Wait()
}

// exchange runs one gossip exchange with the peer at an address. Its first
// request carries the recent records after the offset since.
func (m *Agent) exchange(ctx context.Context, address string, since uint64) error {
	client, err := m.Peers.Client(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := m.request(since)
	response, err := client.Exchange(ctx, request)
	if err != nil {
		return err
	}
	m.countBytes(request, response)
	m.applyResponse(response)
	return m.sync(ctx, client, response)
}

// joinSeed announces this node to the seed at an address and merges the members
// that the seed returns.
func (m *Agent) joinSeed(ctx context.Context, address string) error {
	client, err := m.Peers.Client(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := m.request(m.View.State().Offset())
	request.Introduction = true
	response, err := client.Exchange(ctx, request)
	if err != nil {
		return err
	}
	m.countBytes(request, response)
	m.mergeMembers(unpackMembers(response.GetMembers()))
	return nil
}

// sync exchanges member entries with a peer until both tables are equal, in at
// most maxSyncs exchanges.
func (m *Agent) sync(ctx context.Context, client wharfwire.NodeClient, response *wharfwire.ExchangeResponse) error {
	for i := 0; i < maxSyncs && len(response.GetBuckets()) > 0; i++ {
		request := m.syncRequest(response.GetBuckets())
		next, err := client.Exchange(ctx, request)
		if err != nil {
			return err
		}
		m.countBytes(request, next)
		m.applyResponse(next)
		if len(next.GetMembers()) == 0 && len(request.GetMembers()) == 0 {
			return nil
		}
		response = next
	}
	return nil
}

// recordExchange passes the result of an exchange with a peer to the failure
// detector. A failure is reported only for a peer of this failure domain.
func (m *Agent) recordExchange(p wharfmember.Member, ok bool) {
	m.mu.Lock()
	shouldReport := m.detector.RecordExchange(p.Node, ok)
	m.mu.Unlock()
	if !shouldReport || p.FailureDomain != m.View.Locality().FailureDomain {
		return
	}
	m.reportFailure(wharfmember.FailureReport{Subject: p.Node, Incarnation: p.Incarnation, Reporter: m.View.Node()})
}

// reportFailure adds a failure report of this node or of another reporter, and
// declares the subject down when enough reporters agree. Later exchanges pass
// the report on.
func (m *Agent) reportFailure(report wharfmember.FailureReport) {
	subject, known := m.View.Member(report.Subject)
	if !known || subject.Incarnation != report.Incarnation || subject.State > wharfmember.Leaving {
		return
	}
	monitors := m.View.MonitorCount(report.Subject)
	m.mu.Lock()
	down := m.detector.AddReport(time.Now(), report, monitors)
	m.mu.Unlock()
	if !down {
		return
	}
	m.Log.Emit(wharfevents.MemberDown, wharfevents.Field{Name: "node", Value: report.Subject})
	m.mergeMembers([]wharfmember.Member{subject.WithState(wharfmember.Down)})
}

// queueUpdates queues changed member entries for the next exchanges. It drops
// queued entries that are older than updateTTL and, beyond maxUpdates, the
// oldest ones.
func (m *Agent) queueUpdates(members []wharfmember.Member) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	kept := slices.DeleteFunc(m.updates, func(u memberUpdate) bool { return now.Sub(u.at) >= updateTTL })
	for _, member := range members {
		kept = append(kept, memberUpdate{member, now})
	}
	if extra := len(kept) - maxUpdates; extra > 0 {
		kept = kept[extra:]
	}
	m.updates = kept
}
