package wharfcluster

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"ragwortwharf.dev/wharf/wharfidempotency"
	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharfstate"
	"ragwortwharf.dev/wharf/wharfstream"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/internal/wharfrandom"
	"ragwortwharf.dev/wharfnode/internal/wharftarget"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

const (
	// maxRecordBytes bounds the records in one answer, in bytes.
	maxRecordBytes = 256 << 10
	// maxRecentBytes bounds the records sent along with a request, in bytes.
	maxRecentBytes = 4 << 10
	// maxRecentRecords is how many records are sent along at most.
	maxRecentRecords = 8
	// maxEntries bounds the entries in one message.
	maxEntries = 512
	// introducedEntries is about how many entries a node that joins gets from
	// its seed. It takes the rest from those.
	introducedEntries = 32
	// maxSuspicions bounds the suspicions in one message.
	maxSuspicions = 32
)

// request builds the first message of an exchange.
func (m *Agent) request(since uint64) *wharfwire.ExchangeRequest {
	now := time.Now()
	r := &wharfwire.ExchangeRequest{
		From:         m.View.Node(),
		Incarnation:  m.View.Incarnation(),
		ConfigOffset: m.View.State().Offset(),
		Records:      m.recentRecords(since),
		Freshness:    m.freshness(now),
		Suspicions:   m.suspicions(now),
	}
	m.View.Members(func(t *wharfmember.Table) { r.MembersRoot = t.Digests().Root() })
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, rumour := range m.updates {
		if now.Sub(rumour.at) < updateTTL {
			r.Members = append(r.Members, packMember(rumour.member))
		}
	}
	for _, a := range m.detector.ActiveReports(now) {
		r.Accusations = append(r.Accusations, &wharfwire.Accusation{
			Subject: a.Subject, Incarnation: a.Incarnation, Reporter: a.Reporter,
		})
	}
	return r
}

// recentRecords returns the records since the last round, for a partner that is only
// just behind. Those that are further behind ask for what they lack.
func (m *Agent) recentRecords(since uint64) []*wharfwire.LogRecord {
	if m.View.State().Offset()-since > maxRecentRecords {
		return nil
	}
	records, _ := m.View.RecordsAfter(since, maxRecentBytes)
	return packRecords(records)
}

func (m *Agent) freshness(now time.Time) *wharfwire.Freshness {
	fresh := m.View.ConfirmedAt()
	if fresh.IsZero() {
		return nil
	}
	return &wharfwire.Freshness{Offset: m.View.State().Offset(), AgeMs: now.Sub(fresh).Milliseconds() + 1}
}

func (m *Agent) suspicions(now time.Time) []*wharfwire.Suspicion {
	return wharftarget.PackSuspicions(now, m.Quarantine.Sample(now, wharfrandom.New(), maxSuspicions))
}

// syncRequest builds a message that carries entries, given the digests of the
// partner.
func (m *Agent) syncRequest(partner []uint64) *wharfwire.ExchangeRequest {
	r := &wharfwire.ExchangeRequest{
		From: m.View.Node(), Incarnation: m.View.Incarnation(), ConfigOffset: m.View.State().Offset(),
	}
	m.View.Members(func(t *wharfmember.Table) {
		r.MembersRoot = t.Digests().Root()
		r.Buckets = append([]uint64(nil), t.Digests()[:]...)
		r.Members = packMembers(t.Differing(digests(partner), wharfrandom.New().IntN(wharfmember.Buckets), maxEntries))
	})
	return r
}

// Exchange answers the exchange of another node.
func (m *Agent) Exchange(_ context.Context, r *wharfwire.ExchangeRequest) (*wharfwire.ExchangeResponse, error) {
	now := time.Now()
	m.mergeMembers(unpackMembers(r.GetMembers()))
	m.applyRecords(unpackRecords(r.GetRecords()))
	m.confirm(now, r.GetFreshness())
	wharftarget.MergeSuspicions(m.Quarantine, r.GetSuspicions())
	for _, a := range r.GetAccusations() {
		m.reportFailure(wharfmember.FailureReport{Subject: a.GetSubject(), Incarnation: a.GetIncarnation(), Reporter: a.GetReporter()})
	}
	if r.GetConfigOffset() > m.View.State().Offset() {
		m.TriggerRound()
	}
	if r.GetIntroduction() {
		return m.introduction(), nil
	}
	response := &wharfwire.ExchangeResponse{
		ConfigOffset: m.View.State().Offset(),
		Freshness:    m.freshness(now),
		Suspicions:   m.suspicions(now),
	}
	m.addState(response, r.GetConfigOffset())
	m.addMembers(response, r)
	return response, nil
}

// introduction names some members to a node that joins, this one among them.
func (m *Agent) introduction() *wharfwire.ExchangeResponse {
	response := &wharfwire.ExchangeResponse{Members: []*wharfwire.Member{packMember(m.View.SelfMember())}}
	m.View.Members(func(t *wharfmember.Table) {
		some := t.Differing(&wharfmember.Digests{}, wharfrandom.New().IntN(wharfmember.Buckets), introducedEntries)
		response.Members = append(response.Members, packMembers(some)...)
	})
	return response
}

// addState adds the records that the partner lacks, or a snapshot if they are
// no longer kept.
func (m *Agent) addState(response *wharfwire.ExchangeResponse, offset uint64) {
	records, ok := m.View.RecordsAfter(offset, maxRecordBytes)
	if ok {
		response.Records = packRecords(records)
		return
	}
	data, err := m.View.State().Save()
	if err == nil {
		response.Snapshot = data
	}
}

// addMembers adds digests if the tables differ, and entries if the partner
// sent its digests.
func (m *Agent) addMembers(response *wharfwire.ExchangeResponse, r *wharfwire.ExchangeRequest) {
	m.View.Members(func(t *wharfmember.Table) {
		response.MembersRoot = t.Digests().Root()
		if response.GetMembersRoot() == r.GetMembersRoot() {
			return
		}
		response.Buckets = append([]uint64(nil), t.Digests()[:]...)
		if len(r.GetBuckets()) > 0 {
			response.Members = packMembers(t.Differing(digests(r.GetBuckets()), wharfrandom.New().IntN(wharfmember.Buckets), maxEntries))
		}
	})
}

// applyResponse takes what a partner answered.
func (m *Agent) applyResponse(r *wharfwire.ExchangeResponse) {
	now := time.Now()
	m.mergeMembers(unpackMembers(r.GetMembers()))
	if data := r.GetSnapshot(); len(data) > 0 {
		m.restoreSnapshot(data)
	}
	m.applyRecords(unpackRecords(r.GetRecords()))
	m.confirm(now, r.GetFreshness())
	wharftarget.MergeSuspicions(m.Quarantine, r.GetSuspicions())
}

func (m *Agent) restoreSnapshot(data []byte) {
	s, err := wharfstate.Load(data)
	if err != nil {
		m.Log.Emit(wharfevents.SnapshotRefused, wharfevents.ErrorField(err))
		return
	}
	if m.View.Restore(s) {
		m.Log.Emit(wharfevents.SnapshotAdopted, wharfevents.Field{Name: "offset", Value: s.Offset()})
	}
}

// applyRecords folds records and passes them on at once if they are news.
func (m *Agent) applyRecords(records []wharfstream.Record) {
	if len(records) == 0 || !m.View.Apply(records) {
		return
	}
	m.Log.Emit(wharfevents.ConfigAdvanced, wharfevents.Field{Name: "offset", Value: m.View.State().Offset()})
	m.TriggerRound()
}

// confirm takes a partner's word on where the log ended some time ago.
func (m *Agent) confirm(now time.Time, f *wharfwire.Freshness) {
	if f != nil {
		m.View.Confirm(f.GetOffset(), now.Add(-callTimeout-time.Duration(f.GetAgeMs())*time.Millisecond))
	}
}

// mergeMembers merges entries and passes news on.
func (m *Agent) mergeMembers(members []wharfmember.Member) {
	if len(members) == 0 {
		return
	}
	result := m.View.Merge(members)
	for _, n := range result.Changed {
		m.Log.Emit(wharfevents.MemberJoined,
			wharfevents.Field{Name: "node", Value: n.Node},
			wharfevents.Field{Name: "state", Value: n.State.String()})
	}
	if len(result.Changed) > 0 {
		m.mu.Lock()
		m.departures.record(time.Now(), result.Changed)
		m.mu.Unlock()
	}
	if len(result.Changed) > 0 && len(result.Changed) <= maxUpdates {
		m.queueUpdates(result.Changed)
		m.TriggerRound()
	}
	m.correctSelf(result.NewerIncarnation, result.Refute)
}

// correctSelf corrects what others believe of this node.
func (m *Agent) correctSelf(outlived uint64, refute bool) {
	switch {
	case outlived > 0:
		m.Log.Emit(wharfevents.IncarnationRaised, wharfevents.Field{Name: "incarnation", Value: outlived + 1})
		m.UpdateSelf(func(self wharfmember.Member) wharfmember.Member {
			self.Incarnation = max(self.Incarnation, outlived+1)
			return self
		})
	case refute:
		m.Log.Emit(wharfevents.DownRefuted)
		m.UpdateSelf(func(self wharfmember.Member) wharfmember.Member { return self })
	}
}

// UpdateSelf changes the entry of this node and spreads it.
func (m *Agent) UpdateSelf(change func(wharfmember.Member) wharfmember.Member) {
	m.View.UpdateSelf(change)
	m.queueUpdates([]wharfmember.Member{m.View.SelfMember()})
	m.TriggerRound()
}

// Announce tells the other nodes what targets this node has.
func (m *Agent) Announce() {
	targets := m.Registry.Announced()
	m.UpdateSelf(func(self wharfmember.Member) wharfmember.Member {
		self.Targets = targets
		return self
	})
}

func (m *Agent) countBytes(request, response proto.Message) {
	m.Metrics.ControlBytes("sent", proto.Size(request))
	m.Metrics.ControlBytes("received", proto.Size(response))
}

// Consult asks a life of a node about a key, which closes the key there.
func (m *Agent) Consult(ctx context.Context, owner wharfidempotency.Owner, id wharfidempotency.KeyID) (wharfidempotency.KeyEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, err := m.Peers.Client(owner.Address)
	if err != nil {
		return wharfidempotency.KeyEntry{}, err
	}
	r, err := client.Consult(ctx, &wharfwire.ConsultRequest{
		Service: id.Service, Caller: id.Caller, Key: id.Key, Incarnation: owner.Incarnation,
		StateOffset: m.View.State().Offset(),
	})
	if err != nil {
		return wharfidempotency.KeyEntry{}, err
	}
	return wharfidempotency.KeyEntry{
		State:       wharfidempotency.State(r.GetState()),
		Fingerprint: r.GetFingerprint(),
		Response:    wharftarget.UnpackResponse(r.GetAnswer()),
	}, nil
}
