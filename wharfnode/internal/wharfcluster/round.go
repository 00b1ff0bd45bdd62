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
	// roundInterval is the time between two rounds of exchanges.
	roundInterval = time.Second
	// minRoundInterval is the least time between two rounds when there is news.
	minRoundInterval = 100 * time.Millisecond
	// updateTTL is how long a changed entry is sent along.
	updateTTL = 3 * time.Second
	// maxUpdates bounds the entries sent along with one exchange.
	maxUpdates = 32
	// maxSyncs bounds the exchanges of entries in one round with one partner.
	maxSyncs = 128
)

// memberUpdate is an entry that changed a short while ago.
type memberUpdate struct {
	member wharfmember.Member
	at     time.Time
}

// rounds exchanges with a few partners in each round.
type rounds struct {
	mesh  *Agent
	rng   *rand.Rand
	count int
	// sentOffset is the offset up to which records were sent along in a round.
	sentOffset uint64
}

func (r *rounds) run(ctx context.Context) {
	r.mesh.join(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-r.mesh.urgent:
		}
		r.round(ctx)
		// Rounds don't keep step over the mesh, so no node is hit by all.
		pause := roundInterval/2 + time.Duration(r.rng.Int64N(int64(roundInterval)))
		timer.Reset(pause)
		if !wharftimer.Sleep(ctx, minRoundInterval) {
			return
		}
	}
}

// join tells the seeds that this node exists, and learns of some others from
// them. Members and state come from those, so that nodes which start together
// don't all ask few seeds for everything.
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
		// A seed that can't be reached now is met by a later round of others.
		_ = m.introduce(ctx, seed)
	}
}

func (r *rounds) round(ctx context.Context) {
	r.count++
	partners := r.mesh.View.GossipPeers(r.count, r.rng)
	if len(partners) == 0 {
		r.mesh.join(ctx)
		return
	}
	since := r.sentOffset
	r.sentOffset = r.mesh.View.State().Offset()
	group := r.mesh.pool.NewGroup()
	for _, p := range partners {
		group.Submit(func() {
			err := r.mesh.exchange(ctx, p.Address, since)
			if ctx.Err() == nil {
				r.mesh.recordExchange(p, err == nil)
			}
		})
	}
	for _, ended := range r.reprobes() {
		group.Submit(func() { r.mesh.reprobe(ctx, ended, since) })
	}
	_ = group.Wait()
}

// exchange does one round with one partner, and sends the records since an
// offset along.
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

// introduce tells a seed of this node and takes the members that it names.
func (m *Agent) introduce(ctx context.Context, address string) error {
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

// sync exchanges entries until both tables are the same.
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

// recordExchange tells the detector how an exchange with a watched node went.
func (m *Agent) recordExchange(p wharfmember.Member, ok bool) {
	m.mu.Lock()
	accuse := m.detector.RecordExchange(p.Node, ok)
	m.mu.Unlock()
	if !accuse || p.FailureDomain != m.View.Locality().FailureDomain {
		return
	}
	m.reportFailure(wharfmember.FailureReport{Subject: p.Node, Incarnation: p.Incarnation, Reporter: m.View.Node()})
}

// reportFailure takes an accusation, own or heard, and declares the subject down when
// enough reporters agree. The exchanges to come pass it on.
func (m *Agent) reportFailure(a wharfmember.FailureReport) {
	subject, known := m.View.Member(a.Subject)
	if !known || subject.Incarnation != a.Incarnation || subject.State > wharfmember.Leaving {
		return
	}
	watchers := m.View.MonitorCount(a.Subject)
	m.mu.Lock()
	down := m.detector.AddReport(time.Now(), a, watchers)
	m.mu.Unlock()
	if !down {
		return
	}
	m.Log.Emit(wharfevents.MemberDown, wharfevents.Field{Name: "node", Value: a.Subject})
	m.mergeMembers([]wharfmember.Member{subject.WithState(wharfmember.Down)})
}

// queueUpdates remembers changed entries for the next exchanges.
func (m *Agent) queueUpdates(members []wharfmember.Member) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	kept := slices.DeleteFunc(m.updates, func(r memberUpdate) bool { return now.Sub(r.at) >= updateTTL })
	for _, member := range members {
		kept = append(kept, memberUpdate{member, now})
	}
	if extra := len(kept) - maxUpdates; extra > 0 {
		kept = kept[extra:]
	}
	m.updates = kept
}
