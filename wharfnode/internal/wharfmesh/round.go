package wharfmesh

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
	// hurryInterval is the least time between two rounds when there is news.
	hurryInterval = 100 * time.Millisecond
	// rumourLife is how long a changed entry is sent along.
	rumourLife = 3 * time.Second
	// maxRumours bounds the entries sent along with one exchange.
	maxRumours = 32
	// maxSyncs bounds the exchanges of entries in one round with one partner.
	maxSyncs = 128
)

// rumour is an entry that changed a short while ago.
type rumour struct {
	member wharfmember.Member
	at     time.Time
}

// rounds exchanges with a few partners in each round.
type rounds struct {
	mesh  *Mesh
	rng   *rand.Rand
	count int
	// told is the offset up to which records were sent along in a round.
	told uint64
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
		if !wharftimer.Sleep(ctx, hurryInterval) {
			return
		}
	}
}

// join tells the seeds that this node exists, and learns of some others from
// them. Members and state come from those, so that nodes which start together
// don't all ask few seeds for everything.
func (m *Mesh) join(ctx context.Context) {
	self := m.View.SelfMember()
	m.note([]wharfmember.Member{self})
	seeds, err := m.Directory.Seeds(ctx)
	if err != nil {
		m.Log.Emit(wharfevents.DirectoryUnavailable, wharfevents.Cause(err))
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
	partners := r.mesh.View.Partners(r.count, r.rng)
	if len(partners) == 0 {
		r.mesh.join(ctx)
		return
	}
	since := r.told
	r.told = r.mesh.View.State().Offset()
	group := r.mesh.pool.NewGroup()
	for _, p := range partners {
		group.Submit(func() {
			err := r.mesh.exchange(ctx, p.Address, since)
			if ctx.Err() == nil {
				r.mesh.exchanged(p, err == nil)
			}
		})
	}
	for _, ended := range r.revisits() {
		group.Submit(func() { r.mesh.revisit(ctx, ended, since) })
	}
	_ = group.Wait()
}

// exchange does one round with one partner, and sends the records since an
// offset along.
func (m *Mesh) exchange(ctx context.Context, address string, since uint64) error {
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
	m.takeResponse(response)
	return m.sync(ctx, client, response)
}

// introduce tells a seed of this node and takes the members that it names.
func (m *Mesh) introduce(ctx context.Context, address string) error {
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
	m.takeMembers(unpackMembers(response.GetMembers()))
	return nil
}

// sync exchanges entries until both tables are the same.
func (m *Mesh) sync(ctx context.Context, client wharfwire.NodeClient, response *wharfwire.ExchangeResponse) error {
	for i := 0; i < maxSyncs && len(response.GetBuckets()) > 0; i++ {
		request := m.syncRequest(response.GetBuckets())
		next, err := client.Exchange(ctx, request)
		if err != nil {
			return err
		}
		m.countBytes(request, next)
		m.takeResponse(next)
		if len(next.GetMembers()) == 0 && len(request.GetMembers()) == 0 {
			return nil
		}
		response = next
	}
	return nil
}

// exchanged tells the detector how an exchange with a watched node went.
func (m *Mesh) exchanged(p wharfmember.Member, ok bool) {
	m.mu.Lock()
	accuse := m.detector.Exchanged(p.Node, ok)
	m.mu.Unlock()
	if !accuse || p.FailureDomain != m.View.Place().FailureDomain {
		return
	}
	m.accuse(wharfmember.Accusation{Subject: p.Node, Incarnation: p.Incarnation, Reporter: m.View.Node()})
}

// accuse takes an accusation, own or heard, and declares the subject down when
// enough reporters agree. The exchanges to come pass it on.
func (m *Mesh) accuse(a wharfmember.Accusation) {
	subject, known := m.View.Member(a.Subject)
	if !known || subject.Incarnation != a.Incarnation || subject.State > wharfmember.Leaving {
		return
	}
	watchers := m.View.Watchers(a.Subject)
	m.mu.Lock()
	down := m.detector.Accuse(time.Now(), a, watchers)
	m.mu.Unlock()
	if !down {
		return
	}
	m.Log.Emit(wharfevents.MemberDown, wharfevents.Field{Name: "node", Value: a.Subject})
	m.takeMembers([]wharfmember.Member{subject.WithState(wharfmember.Down)})
}

// note remembers changed entries for the next exchanges.
func (m *Mesh) note(members []wharfmember.Member) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	kept := slices.DeleteFunc(m.rumours, func(r rumour) bool { return now.Sub(r.at) >= rumourLife })
	for _, member := range members {
		kept = append(kept, rumour{member, now})
	}
	if extra := len(kept) - maxRumours; extra > 0 {
		kept = kept[extra:]
	}
	m.rumours = kept
}
