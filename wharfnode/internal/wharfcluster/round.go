package wharfcluster

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharfstream"
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
	// epochRounds is the number of rounds, one minRoundInterval after the other, in which
	// a node tells others that the log was restored from an older copy. In one round, a
	// node misses a given one of n others with the probability 1-3/n, so that after one
	// round of each of them about one in 20 hasn't heard of it; after four, one in 100,000.
	epochRounds = 4
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
	// epoch is the latest epoch of the log that was sent, and epochRounds the number of
	// rounds that follow at once to tell others of it.
	epoch       uint64
	epochRounds int
}

func (r *rounds) run(ctx context.Context) {
	// Each node writes its entry before it reads those of the others. So of two
	// nodes that start together, at least one finds the other.
	select {
	case <-r.agent.registered:
	case <-ctx.Done():
		return
	}
	r.agent.join(ctx)
	close(r.agent.joined)
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
		timer.Reset(r.pause())
		if !wharftimer.Sleep(ctx, minRoundInterval) {
			return
		}
	}
}

// pause returns the time until the next regular round. The jitter keeps the rounds of
// different nodes out of step, so that they don't all call the same node at once.
func (r *rounds) pause() time.Duration {
	if r.epochRounds > 0 {
		r.epochRounds--
		return minRoundInterval
	}
	return roundInterval/2 + time.Duration(r.rng.Int64N(int64(roundInterval)))
}

// join announces this node to the seeds and merges the few members that each
// seed returns. The node gets all members and the state from those members
// later, so that nodes that start together don't all fetch everything from a
// few seeds.
func (a *Agent) join(ctx context.Context) {
	self := a.View.SelfMember()
	a.queueUpdates([]wharfmember.Member{self})
	seeds, err := a.Directory.Seeds(ctx)
	if err != nil {
		a.Log.Emit(wharfevents.DirectoryUnavailable, wharfevents.ErrorField(err))
	}
	for _, seed := range seeds {
		if seed == self.Address {
			continue
		}
		// An unreachable seed gets the entry of this node later, by gossip from
		// other nodes.
		_ = a.joinSeed(ctx, seed)
	}
}

// peers returns the peers of the next round. A node that turned out to be ahead of this one
// is among them, because random peers may lag as well.
func (r *rounds) peers() []wharfmember.Member {
	r.count++
	peers := r.agent.View.GossipPeers(r.count, r.rng)
	ahead := r.agent.takeAhead()
	if slices.ContainsFunc(peers, func(p wharfmember.Member) bool { return p.Node == ahead }) {
		return peers
	}
	if m, ok := r.agent.View.Member(ahead); ok {
		peers = append(peers, m)
	}
	return peers
}

func (r *rounds) round(ctx context.Context) {
	peers := r.peers()
	if len(peers) == 0 {
		r.agent.join(ctx)
	}
	since := r.sentOffset
	r.sentOffset = r.agent.View.State().Offset()
	if epoch := wharfstream.Epoch(r.sentOffset); epoch > r.epoch {
		// The first epoch that a node knows is no news to others.
		if since > 0 {
			r.epochRounds = epochRounds - 1
		}
		r.epoch = epoch
	}
	group := r.agent.pool.NewGroup()
	for _, p := range peers {
		group.Submit(func() {
			err := r.agent.exchange(ctx, p, since)
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

// errPanic ends an exchange that has panicked.
var errPanic = errors.New("the exchange has panicked")

// exchange runs one gossip exchange with a peer. Its first
// request carries the recent records after the offset since. A panic, in what an odd response may
// cause, ends only the exchange.
func (a *Agent) exchange(ctx context.Context, peer wharfmember.Member, since uint64) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errPanic
			a.Log.EmitPanic("exchange", p)
		}
	}()
	client, err := a.Peers.Client(peer.Address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, sentAt := a.request(since), a.sendTime()
	response, err := client.Exchange(ctx, request)
	if err != nil {
		return err
	}
	a.countBytes(request, response)
	a.applyResponse(peer.Node, response, sentAt)
	return a.sync(ctx, client, peer.Node, response)
}

// joinSeed announces this node to the seed at an address and merges the members
// that the seed returns.
func (a *Agent) joinSeed(ctx context.Context, address string) error {
	client, err := a.Peers.Client(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := a.request(a.View.State().Offset())
	request.Introduction = true
	response, err := client.Exchange(ctx, request)
	if err != nil {
		return err
	}
	a.countBytes(request, response)
	a.mergeMembers(a.receivedMembers(address, response.GetMembers()))
	return nil
}

// sync exchanges member entries with a peer until both tables are equal, in at
// most maxSyncs exchanges.
func (a *Agent) sync(ctx context.Context, client wharfwire.NodeClient, peer string, response *wharfwire.ExchangeResponse) error {
	for i := 0; i < maxSyncs && len(response.GetBuckets()) > 0; i++ {
		request, sentAt := a.syncRequest(peer, response.GetBuckets()), a.sendTime()
		next, err := client.Exchange(ctx, request)
		if err != nil {
			return err
		}
		a.countBytes(request, next)
		a.applyResponse(peer, next, sentAt)
		if len(next.GetMembers()) == 0 && len(request.GetMembers()) == 0 {
			return nil
		}
		response = next
	}
	return nil
}

// recordExchange passes the result of an exchange with a peer to the failure
// detector. A failure is reported only for a peer of this failure domain.
func (a *Agent) recordExchange(p wharfmember.Member, ok bool) {
	a.mu.Lock()
	shouldReport := a.detector.RecordExchange(p.Node, ok)
	a.mu.Unlock()
	if !shouldReport || p.FailureDomain != a.View.Locality().FailureDomain {
		return
	}
	a.reportFailure(wharfmember.FailureReport{Subject: p.Node, Incarnation: p.Incarnation, Reporter: a.View.Node()})
}

// reportFailure adds a failure report of this node or of another reporter, and
// declares the subject down when enough reporters agree. Later exchanges pass
// the report on.
func (a *Agent) reportFailure(report wharfmember.FailureReport) {
	subject, known := a.View.Member(report.Subject)
	if !known || subject.Incarnation != report.Incarnation || subject.State > wharfmember.Leaving {
		return
	}
	monitors := a.View.MonitorCount(report.Subject)
	a.mu.Lock()
	down := a.detector.AddReport(time.Now(), report, monitors)
	a.mu.Unlock()
	if !down {
		return
	}
	a.Log.Emit(wharfevents.MemberDown, wharfevents.Field{Name: "node", Value: report.Subject})
	a.mergeMembers([]wharfmember.Member{subject.WithState(wharfmember.Down)})
}

// queueUpdates queues changed member entries for the next exchanges. It drops
// queued entries that are older than updateTTL and, beyond maxUpdates, the
// oldest ones.
func (a *Agent) queueUpdates(members []wharfmember.Member) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	kept := slices.DeleteFunc(a.updates, func(u memberUpdate) bool { return now.Sub(u.at) >= updateTTL })
	for _, member := range members {
		kept = append(kept, memberUpdate{member, now})
	}
	if extra := len(kept) - maxUpdates; extra > 0 {
		kept = kept[extra:]
	}
	a.updates = kept
}
