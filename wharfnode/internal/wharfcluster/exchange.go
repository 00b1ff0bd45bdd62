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
	// maxRecordBytes bounds the records in one response, in bytes.
	maxRecordBytes = 256 << 10
	// maxRecentBytes bounds the recent records in one request, in bytes.
	maxRecentBytes = 4 << 10
	// maxRecentRecords bounds the number of recent records in one request.
	maxRecentRecords = 8
	// maxEntries bounds the member entries in one message.
	maxEntries = 512
	// joinEntries is about how many member entries a joining node gets from a
	// seed. The joining node gets the other entries from these members.
	joinEntries = 32
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
	for _, update := range m.updates {
		if now.Sub(update.at) < updateTTL {
			r.Members = append(r.Members, packMember(update.member))
		}
	}
	for _, report := range m.detector.ActiveReports(now) {
		r.Accusations = append(r.Accusations, &wharfwire.Accusation{
			Subject: report.Subject, Incarnation: report.Incarnation, Reporter: report.Reporter,
		})
	}
	return r
}

// recentRecords returns the records after an offset, for a peer that lags only
// slightly. It returns none if there are more than maxRecentRecords. A peer that
// lags further requests the records that it lacks.
func (m *Agent) recentRecords(since uint64) []*wharfwire.LogRecord {
	if m.View.State().Offset()-since > maxRecentRecords {
		return nil
	}
	records, _ := m.View.RecordsAfter(since, maxRecentBytes)
	return packRecords(records)
}

// freshness returns the offset of the state and the age of its confirmation, or
// nil if the state has not been confirmed.
func (m *Agent) freshness(now time.Time) *wharfwire.Freshness {
	confirmedAt := m.View.ConfirmedAt()
	if confirmedAt.IsZero() {
		return nil
	}
	return &wharfwire.Freshness{Offset: m.View.State().Offset(), AgeMs: now.Sub(confirmedAt).Milliseconds() + 1}
}

func (m *Agent) suspicions(now time.Time) []*wharfwire.Suspicion {
	return wharftarget.PackSuspicions(now, m.Quarantine.Sample(now, wharfrandom.New(), maxSuspicions))
}

// syncRequest builds a request with the member entries in the buckets whose
// digests differ from those of the peer.
func (m *Agent) syncRequest(peerDigests []uint64) *wharfwire.ExchangeRequest {
	r := &wharfwire.ExchangeRequest{
		From: m.View.Node(), Incarnation: m.View.Incarnation(), ConfigOffset: m.View.State().Offset(),
	}
	m.View.Members(func(t *wharfmember.Table) {
		r.MembersRoot = t.Digests().Root()
		r.Buckets = append([]uint64(nil), t.Digests()[:]...)
		r.Members = packMembers(t.Differing(digests(peerDigests), wharfrandom.New().IntN(wharfmember.Buckets), maxEntries))
	})
	return r
}

// Exchange handles an exchange that another node started.
func (m *Agent) Exchange(_ context.Context, r *wharfwire.ExchangeRequest) (*wharfwire.ExchangeResponse, error) {
	now := time.Now()
	m.mergeMembers(unpackMembers(r.GetMembers()))
	m.applyRecords(unpackRecords(r.GetRecords()))
	m.confirm(now, r.GetFreshness())
	wharftarget.MergeSuspicions(m.Quarantine, r.GetSuspicions())
	for _, report := range r.GetAccusations() {
		m.reportFailure(wharfmember.FailureReport{Subject: report.GetSubject(), Incarnation: report.GetIncarnation(), Reporter: report.GetReporter()})
	}
	if r.GetConfigOffset() > m.View.State().Offset() {
		m.TriggerRound()
	}
	if r.GetIntroduction() {
		return m.joinResponse(), nil
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

// joinResponse returns the entry of this node and those of some other members
// to a joining node.
func (m *Agent) joinResponse() *wharfwire.ExchangeResponse {
	response := &wharfwire.ExchangeResponse{Members: []*wharfwire.Member{packMember(m.View.SelfMember())}}
	m.View.Members(func(t *wharfmember.Table) {
		some := t.Differing(&wharfmember.Digests{}, wharfrandom.New().IntN(wharfmember.Buckets), joinEntries)
		response.Members = append(response.Members, packMembers(some)...)
	})
	return response
}

// addState adds the records after the peer's offset to a response, or a
// snapshot if some of them are no longer kept.
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

// addMembers adds digests to a response if the member tables differ, and the
// differing entries if the request also carries digests.
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

// applyResponse applies the response of a peer: member entries, state and
// suspicions.
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

// applyRecords applies log records to the state. If the state advances, it
// triggers a gossip round to pass the records on at once.
func (m *Agent) applyRecords(records []wharfstream.Record) {
	if len(records) == 0 || !m.View.Apply(records) {
		return
	}
	m.Log.Emit(wharfevents.ConfigAdvanced, wharfevents.Field{Name: "offset", Value: m.View.State().Offset()})
	m.TriggerRound()
}

// confirm records that the state is complete, if it has reached the end of the
// log that a peer reports. It adds callTimeout to the reported age, because the
// message may have been in transit for that long.
func (m *Agent) confirm(now time.Time, f *wharfwire.Freshness) {
	if f != nil {
		m.View.Confirm(f.GetOffset(), now.Add(-callTimeout-time.Duration(f.GetAgeMs())*time.Millisecond))
	}
}

// mergeMembers merges member entries and gossips the changed ones, unless there
// are more than maxUpdates.
func (m *Agent) mergeMembers(members []wharfmember.Member) {
	if len(members) == 0 {
		return
	}
	result := m.View.Merge(members)
	for _, n := range result.Changed {
		// The event is logged for every change, also when a node leaves or is
		// declared down. Its outer name stays for existing clients.
		m.Log.Emit(wharfevents.MemberJoined,
			wharfevents.Field{Name: "node", Value: n.Node},
			wharfevents.Field{Name: "state", Value: n.State.String()})
	}
	if len(result.Changed) > 0 {
		m.mu.Lock()
		m.departed.record(time.Now(), result.Changed)
		m.mu.Unlock()
	}
	if len(result.Changed) > 0 && len(result.Changed) <= maxUpdates {
		m.queueUpdates(result.Changed)
		m.TriggerRound()
	}
	m.correctSelf(result.NewerIncarnation, result.Refute)
}

// correctSelf corrects wrong entries of this node that other nodes hold, as in
// SWIM. If newerIncarnation isn't zero, the incarnation of this node is raised
// above it; else refute raises the version of the entry.
func (m *Agent) correctSelf(newerIncarnation uint64, refute bool) {
	switch {
	case newerIncarnation > 0:
		m.Log.Emit(wharfevents.IncarnationRaised, wharfevents.Field{Name: "incarnation", Value: newerIncarnation + 1})
		m.UpdateSelf(func(self wharfmember.Member) wharfmember.Member {
			self.Incarnation = max(self.Incarnation, newerIncarnation+1)
			return self
		})
	case refute:
		m.Log.Emit(wharfevents.DownRefuted)
		m.UpdateSelf(func(self wharfmember.Member) wharfmember.Member { return self })
	}
}

// UpdateSelf changes the entry of this node and gossips it at once.
func (m *Agent) UpdateSelf(change func(wharfmember.Member) wharfmember.Member) {
	m.View.UpdateSelf(change)
	m.queueUpdates([]wharfmember.Member{m.View.SelfMember()})
	m.TriggerRound()
}

// Announce publishes the targets of this node to the other nodes.
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

// Consult requests the entry of a key from a previous owner, one incarnation of
// a node. If the previous owner hasn't dispatched the key, it closes the key: it
// won't dispatch the key unless it becomes the owner again.
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
