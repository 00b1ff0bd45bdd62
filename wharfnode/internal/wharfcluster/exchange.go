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
	// maxEntries bounds the member entries in one message: once the message has
	// this many, no further bucket of entries is added.
	maxEntries = 512
	// joinEntries is about how many member entries a joining node gets from a
	// seed. The joining node gets the other entries from these members.
	joinEntries = 32
	// maxReportedAge bounds the age of the confirmation of keys that is sent. No keys are
	// accepted after that time.
	maxReportedAge = time.Minute
	// maxSuspicions bounds the suspicions in one message.
	maxSuspicions = 32
)

// request builds the first message of an exchange, with the recent records after
// the log offset since.
func (a *Agent) request(since uint64) *wharfwire.ExchangeRequest {
	now := time.Now()
	r := &wharfwire.ExchangeRequest{
		From:        a.View.Node(),
		Incarnation: a.View.Incarnation(),
		Records:     a.recentRecords(since),
		Freshness:   a.freshness(now),
		Suspicions:  a.suspicions(now),
	}
	a.addOwnState(r)
	a.View.Members(func(t *wharfmember.Table) { r.MembersRoot = t.Digests().Root() })
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, update := range a.updates {
		if now.Sub(update.at) < updateTTL {
			r.Members = append(r.Members, packMember(update.member))
		}
	}
	// The wire name of a failure report is Accusation.
	for _, report := range a.detector.ActiveReports(now) {
		r.Accusations = append(r.Accusations, &wharfwire.Accusation{
			Subject: report.Subject, Incarnation: report.Incarnation, Reporter: report.Reporter,
		})
	}
	return r
}

// addOwnState adds to a request which state this node has.
func (a *Agent) addOwnState(r *wharfwire.ExchangeRequest) {
	s := a.View.State()
	r.ConfigOffset, r.RoutesVersion = s.Offset(), s.Routes().Version()
}

// recentRecords returns the records after an offset, for a peer that lags only
// slightly. It returns none if there are more than maxRecentRecords. A peer that
// lags further requests the records that it lacks. Records after a gap in the log are
// returned as well, because routes are complete without those in the gap.
func (a *Agent) recentRecords(since uint64) []*wharfwire.LogRecord {
	records, _ := a.View.RecordsAfter(since, maxRecentBytes)
	if len(records) > maxRecentRecords {
		return nil
	}
	return packRecords(records)
}

// freshness returns the offset of the state and the age of its confirmation, or
// nil if the state has not been confirmed.
func (a *Agent) freshness(now time.Time) *wharfwire.Freshness {
	// The confirmations are read before the offset, which may advance and be confirmed in between:
	// a lower offset must not be reported with the confirmation of a higher one.
	confirmedAt, keyAge := a.View.ConfirmedAt(), a.View.KeyAge()
	if confirmedAt.IsZero() {
		return nil
	}
	// The age is rounded up, so that the reported age is never too low.
	f := &wharfwire.Freshness{Offset: a.View.State().Offset(), AgeMs: now.Sub(confirmedAt).Milliseconds() + 1}
	if keyAge < maxReportedAge {
		f.KeyAgeMs = keyAge.Milliseconds() + 1
	}
	return f
}

func (a *Agent) suspicions(now time.Time) []*wharfwire.Suspicion {
	return wharftarget.PackSuspicions(now, a.Quarantine.Sample(now, wharfrandom.New(), maxSuspicions))
}

// syncRequest builds a request with the member entries in the buckets whose
// digests differ from those of the peer. It begins at a random bucket, so that
// the limit doesn't omit the same entries each time.
func (a *Agent) syncRequest(peer string, peerDigests []uint64) *wharfwire.ExchangeRequest {
	r := &wharfwire.ExchangeRequest{From: a.View.Node(), Incarnation: a.View.Incarnation()}
	a.addOwnState(r)
	a.View.Members(func(t *wharfmember.Table) {
		r.MembersRoot = t.Digests().Root()
		r.Buckets = append([]uint64(nil), t.Digests()[:]...)
		r.Members = packMembers(t.Differing(digests(peerDigests), wharfrandom.New().IntN(wharfmember.Buckets), maxEntries))
	})
	if m, ok := a.View.Member(peer); ok {
		r.Members = append(r.Members, a.packEarlier(peer, m.Incarnation)...)
	}
	return r
}

// Exchange handles an exchange that another node started.
func (a *Agent) Exchange(_ context.Context, r *wharfwire.ExchangeRequest) (*wharfwire.ExchangeResponse, error) {
	now := time.Now()
	a.mergeMembers(a.receivedMembers(r.GetFrom(), r.GetMembers()))
	a.applyRecords(r.GetFrom(), unpackRecords(r.GetRecords()))
	a.confirm(now.Add(-callTimeout), r.GetFreshness())
	wharftarget.MergeSuspicions(a.Quarantine, a.Log, r.GetSuspicions())
	for _, report := range r.GetAccusations() {
		a.reportFailure(wharfmember.FailureReport{Subject: report.GetSubject(), Incarnation: report.GetIncarnation(), Reporter: report.GetReporter()})
	}
	if s := a.View.State(); r.GetConfigOffset() > s.Offset() || r.GetRoutesVersion() > s.Routes().Version() {
		a.setAhead(r.GetFrom())
		a.TriggerRound()
	}
	// The wire name of a request to join is Introduction.
	if r.GetIntroduction() {
		return a.joinResponse(), nil
	}
	response := &wharfwire.ExchangeResponse{
		ConfigOffset: a.View.State().Offset(),
		Freshness:    a.freshness(now),
		Suspicions:   a.suspicions(now),
	}
	a.addState(response, r)
	a.addMembers(response, r)
	response.Members = append(response.Members, a.packEarlier(r.GetFrom(), r.GetIncarnation())...)
	return response, nil
}

// setAhead records that a node has a later state than this one.
func (a *Agent) setAhead(node string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ahead = node
}

// takeAhead returns the node that setAhead recorded last, once.
func (a *Agent) takeAhead() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	node := a.ahead
	a.ahead = ""
	return node
}

// joinResponse returns the entry of this node and those of some other members
// to a joining node.
func (a *Agent) joinResponse() *wharfwire.ExchangeResponse {
	response := &wharfwire.ExchangeResponse{Members: []*wharfwire.Member{packMember(a.View.SelfMember())}}
	a.View.Members(func(t *wharfmember.Table) {
		// Every bucket with entries differs from an empty digest, so this picks
		// the entries from a random bucket on.
		some := t.Differing(&wharfmember.Digests{}, wharfrandom.New().IntN(wharfmember.Buckets), joinEntries)
		response.Members = append(response.Members, packMembers(some)...)
	})
	return response
}

// addState adds the records after the peer's offset to a response, or a
// snapshot if some of them are no longer kept, or if the peer lacks routes that aren't in them.
func (a *Agent) addState(response *wharfwire.ExchangeResponse, r *wharfwire.ExchangeRequest) {
	records, ok := a.View.RecordsAfter(r.GetConfigOffset(), maxRecordBytes)
	if ok && !a.hasLostRoutes(r) {
		response.Records = packRecords(records)
		return
	}
	data, err := a.View.State().Save()
	if err == nil {
		response.Snapshot = data
	}
}

// hasLostRoutes reports whether this node has later routes than a peer, which may be in no record:
// the log was restored from an older copy, and the peer has started since. A peer that has a state
// and names no version of its routes is one that doesn't send it.
func (a *Agent) hasLostRoutes(r *wharfwire.ExchangeRequest) bool {
	s := a.View.State()
	return wharfstream.Epoch(s.Offset()) > 0 && r.GetRoutesVersion() < s.Routes().Version() &&
		(r.GetRoutesVersion() > 0 || r.GetConfigOffset() == 0)
}

// addMembers adds digests to a response if the member tables differ, and the
// differing entries, from a random bucket on, if the request also carries digests.
func (a *Agent) addMembers(response *wharfwire.ExchangeResponse, r *wharfwire.ExchangeRequest) {
	a.View.Members(func(t *wharfmember.Table) {
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

// applyResponse applies the response of a peer to a request that was sent at a time: member
// entries, state and suspicions.
func (a *Agent) applyResponse(peer string, r *wharfwire.ExchangeResponse, sentAt sendTime) {
	a.mergeMembers(a.receivedMembers(peer, r.GetMembers()))
	if data := r.GetSnapshot(); len(data) > 0 {
		a.restoreSnapshot(peer, data)
	}
	a.applyRecords(peer, unpackRecords(r.GetRecords()))
	a.confirm(sentAt.at, r.GetFreshness())
	if f := r.GetFreshness(); f.GetKeyAgeMs() > 0 {
		a.View.ConfirmKeys(f.GetOffset(), sentAt.lease.Add(-wharfwire.Duration(f.GetKeyAgeMs())))
		// A peer that has just started and hasn't confirmed its keys may know as little as this node.
		a.compared.Store(true)
	}
	wharftarget.MergeSuspicions(a.Quarantine, a.Log, r.GetSuspicions())
}

// sendTime is the time at which a request was sent, also by the clock of View.ConfirmKeys.
type sendTime struct {
	at, lease time.Time
}

func (a *Agent) sendTime() sendTime {
	return sendTime{time.Now(), a.View.LeaseNow()}
}

// restoreSnapshot replaces the state by a later one and passes it on at once.
func (a *Agent) restoreSnapshot(peer string, data []byte) {
	s, err := wharfstate.Restore(data)
	if err != nil {
		a.Log.Emit(wharfevents.SnapshotRefused, wharfevents.ErrorField(err))
		return
	}
	if a.View.Restore(s) {
		a.Log.Emit(wharfevents.SnapshotAdopted, a.stateFields(peer)...)
		a.TriggerRound()
	}
}

// applyRecords applies log records from a source, which is a peer or logSource, to
// the state. If the state advances, it triggers a gossip round to pass the records on
// at once.
func (a *Agent) applyRecords(source string, records []wharfstream.Record) {
	if len(records) == 0 || !a.View.Apply(records) {
		return
	}
	a.Log.Emit(wharfevents.ConfigAdvanced, a.stateFields(source)...)
	a.TriggerRound()
}

// stateFields describes the state in force and where it came from.
func (a *Agent) stateFields(source string) []wharfevents.Field {
	s := a.View.State()
	return []wharfevents.Field{
		{Name: "offset", Value: s.Offset()},
		{Name: "routes-version", Value: s.Routes().Version()},
		{Name: "source", Value: source},
	}
}

// confirm records that the state is complete, if it has reached the end of the
// log that a peer reports. The peer has determined the reported age at sentAt or later.
func (a *Agent) confirm(sentAt time.Time, f *wharfwire.Freshness) {
	if f != nil {
		a.View.Confirm(f.GetOffset(), sentAt.Add(-wharfwire.Duration(f.GetAgeMs())))
	}
}

// mergeMembers merges member entries and gossips the changed ones, unless there
// are more than maxUpdates.
func (a *Agent) mergeMembers(members []wharfmember.Member) {
	if len(members) == 0 {
		return
	}
	result := a.View.Merge(members)
	for _, n := range result.Changed {
		// The event is logged for every change, also when a node leaves or is
		// declared down. Its name in the log, member-joined, stays for existing
		// clients.
		a.Log.Emit(wharfevents.MemberChanged,
			wharfevents.Field{Name: "node", Value: n.Node},
			wharfevents.Field{Name: "state", Value: n.State.String()})
	}
	if len(result.Changed) > 0 {
		now := time.Now()
		a.mu.Lock()
		a.departed.record(now, result.Changed)
		a.earlier.record(now, result.Replaced)
		a.mu.Unlock()
	}
	a.restoreDeparted(result.Earlier)
	if len(result.Changed) > 0 && len(result.Changed) <= maxUpdates {
		a.queueUpdates(result.Changed)
		a.TriggerRound()
	}
	a.correctSelf(result.NewerIncarnation, result.Refute)
}

// correctSelf corrects wrong entries of this node that other nodes hold, as in
// SWIM. If newerIncarnation isn't zero, the incarnation of this node is raised
// above it; else refute raises the version of the entry.
func (a *Agent) correctSelf(newerIncarnation uint64, refute bool) {
	switch {
	case newerIncarnation > 0:
		a.Log.Emit(wharfevents.IncarnationRaised, wharfevents.Field{Name: "incarnation", Value: newerIncarnation + 1})
		a.UpdateSelf(func(self wharfmember.Member) wharfmember.Member {
			self.Incarnation = max(self.Incarnation, newerIncarnation+1)
			return self
		})
	case refute:
		a.Log.Emit(wharfevents.DownRefuted)
		a.UpdateSelf(func(self wharfmember.Member) wharfmember.Member { return self })
	}
}

// UpdateSelf changes the entry of this node and gossips it at once.
func (a *Agent) UpdateSelf(change func(wharfmember.Member) wharfmember.Member) {
	a.View.UpdateSelf(change)
	a.queueUpdates([]wharfmember.Member{a.View.SelfMember()})
	a.TriggerRound()
}

// Announce publishes the targets of this node to the other nodes.
func (a *Agent) Announce() {
	targets := a.Registry.Announced()
	a.UpdateSelf(func(self wharfmember.Member) wharfmember.Member {
		self.Targets = targets
		return self
	})
}

func (a *Agent) countBytes(request, response proto.Message) {
	a.Metrics.ControlBytes("sent", proto.Size(request))
	a.Metrics.ControlBytes("received", proto.Size(response))
}

// Consult requests the entry of a key from a previous owner, one incarnation of
// a node. If the previous owner hasn't dispatched the key, it closes the key: it
// won't dispatch the key unless it becomes the owner again.
func (a *Agent) Consult(ctx context.Context, owner wharfidempotency.Owner, id wharfidempotency.KeyID) (wharfidempotency.KeyEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, err := a.Peers.Client(owner.Address)
	if err != nil {
		return wharfidempotency.KeyEntry{}, err
	}
	r, err := client.Consult(ctx, &wharfwire.ConsultRequest{
		Service: id.Service, Caller: id.Caller, Key: id.Key, Incarnation: owner.Incarnation,
		StateOffset: a.View.State().Offset(),
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
