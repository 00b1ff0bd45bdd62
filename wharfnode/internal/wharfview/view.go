package wharfview

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharf/wharfidempotency"
	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharfrouting"
	"ragwortwharf.dev/wharf/wharfstate"
	"ragwortwharf.dev/wharf/wharfstream"
	"ragwortwharf.dev/wharfnode/internal/wharfclock"
)

// maxKeptRecords and maxKeptBytes bound the log records that a node keeps for its gossip
// peers, in number and in bytes of data. The newest one is always kept. A peer that lags
// further gets a snapshot.
const (
	maxKeptRecords = 1024
	maxKeptBytes   = 1 << 20
)

// View is a node's current view of the log state and of the other nodes. It is
// safe for concurrent use.
type View struct {
	locality wharfrouting.Locality
	node     string
	// self is the entry of this node. It is kept apart from members so that the
	// request path reads it without a lock.
	self atomic.Pointer[wharfmember.Member]

	state       atomic.Pointer[wharfstate.State]
	confirmedAt atomic.Pointer[time.Time]
	// clock tells the age of keysConfirmedAt, the latest time at which this node itself asked for a
	// confirmation that it got.
	clock           wharfclock.Clock
	keysConfirmedAt atomic.Pointer[time.Time]
	// version changes with each change of state or members.
	version atomic.Uint64

	stateMu sync.Mutex
	records []wharfstream.Record

	membersMu sync.Mutex
	members   wharfmember.Table
	// services is the number of services that have targets. It is kept apart
	// from members so that the request path reads it without a lock.
	services atomic.Int64

	changedMu sync.Mutex
	changed   chan struct{}
}

// New returns the view of a node that knows only its own entry.
func New(self wharfmember.Member) *View {
	v := &View{
		node:     self.Node,
		locality: wharfrouting.Locality{FailureDomain: self.FailureDomain, Region: self.Region},
		changed:  make(chan struct{}),
	}
	v.self.Store(&self)
	v.confirmedAt.Store(&time.Time{})
	v.keysConfirmedAt.Store(&time.Time{})
	v.members.Merge(self)
	return v
}

// Locality returns the failure domain and the region of the node.
func (v *View) Locality() wharfrouting.Locality {
	return v.locality
}

// Self returns the present incarnation of this node as an owner of keys.
func (v *View) Self() wharfidempotency.Owner {
	m := v.SelfMember()
	return wharfidempotency.Owner{Node: m.Node, Incarnation: m.Incarnation, Address: m.Address}
}

// SelfMember returns the entry of this node.
func (v *View) SelfMember() wharfmember.Member {
	return *v.self.Load()
}

// Node returns the id of this node.
func (v *View) Node() string {
	return v.node
}

// Incarnation returns the present incarnation of this node.
func (v *View) Incarnation() uint64 {
	return v.self.Load().Incarnation
}

// State returns the state built from the log. It is nil, which means empty, until
// the first record or snapshot is applied.
func (v *View) State() *wharfstate.State {
	return v.state.Load()
}

// Config returns the present configuration.
func (v *View) Config() *wharfconfig.Snapshot {
	return v.State().Config()
}

// ServiceCount returns how many services have targets.
func (v *View) ServiceCount() int {
	return int(v.services.Load())
}

// Version returns a number that changes with each change of state or members.
func (v *View) Version() uint64 {
	return v.version.Load()
}

// Ownership returns the ownership table and the time at which it was confirmed.
func (v *View) Ownership() wharfidempotency.OwnershipView {
	return wharfidempotency.OwnershipView{Table: v.State().Ownership(), ConfirmedAt: *v.confirmedAt.Load()}
}

// DedupWindow returns the dedup window of the present configuration: the times
// that bound how long the record of a key is needed.
func (v *View) DedupWindow() wharfidempotency.DedupWindow {
	c := v.Config()
	return wharfidempotency.DedupWindow{Resend: c.ResendHorizon(), Skew: c.ClockSkew(), Staleness: c.OwnerStaleness()}
}

// ConfirmedAt returns the latest time for which the state is known to be complete.
func (v *View) ConfirmedAt() time.Time {
	return *v.confirmedAt.Load()
}

// Confirm records that at the given time the log ended at the given offset, so
// that the state was complete. It has no effect if the state hasn't reached the
// offset or is confirmed for a later time.
func (v *View) Confirm(offset uint64, at time.Time) {
	v.confirm(&v.confirmedAt, offset, at)
}

// confirm raises the time of a confirmation, if the state has reached the offset.
func (v *View) confirm(latest *atomic.Pointer[time.Time], offset uint64, at time.Time) {
	if v.State().Offset() < offset {
		return
	}
	for {
		old := latest.Load()
		if !at.After(*old) || latest.CompareAndSwap(old, &at) {
			return
		}
	}
}

// LeaseNow returns the present time of the clock of ConfirmKeys.
func (v *View) LeaseNow() time.Time {
	return v.clock.Now()
}

// ConfirmKeys records that at the given time, or later, the log ended at the given offset, so that
// the keys in the state were those in force. The time is one of LeaseNow, before this node asked
// for the confirmation: a message that another node sent by itself may have been delayed for any
// time.
func (v *View) ConfirmKeys(offset uint64, at time.Time) {
	v.confirm(&v.keysConfirmedAt, offset, at)
}

// KeyAge returns how long ago the keys in the state were last known to be those in force.
func (v *View) KeyAge() time.Duration {
	at := v.keysConfirmedAt.Load()
	if at.IsZero() {
		return math.MaxInt64
	}
	return v.clock.Now().Sub(*at)
}

// ResetConfirmation discards the confirmation that the state is complete. After a
// process pause the node calls it, and then dispatches no request with a caller's
// idempotency key until the state is confirmed again.
func (v *View) ResetConfirmation() {
	v.confirmedAt.Store(&time.Time{})
}

// Apply applies log records to the state and reports whether the state advanced.
func (v *View) Apply(records []wharfstream.Record) bool {
	v.stateMu.Lock()
	defer v.stateMu.Unlock()
	before := v.state.Load()
	after := before.WithRecords(records)
	if after.Offset() == before.Offset() {
		return false
	}
	v.state.Store(after)
	v.keepRecords(records, after.Offset())
	v.notify()
	return true
}

// Restore replaces the state by that of a snapshot if the snapshot has a higher
// offset. Of the present routes and those of the snapshot it keeps those with the higher version:
// after a restore of the log from an older copy, later offsets may hold an older version. It
// reports whether the state has changed.
func (v *View) Restore(s *wharfstate.State) bool {
	v.stateMu.Lock()
	defer v.stateMu.Unlock()
	present := v.state.Load()
	switch {
	case s.Offset() > present.Offset():
		v.state.Store(s.WithNewerRoutes(present))
		v.records = nil
	case s.Routes().Version() > present.Routes().Version():
		v.state.Store(present.WithNewerRoutes(s))
	default:
		return false
	}
	v.notify()
	return true
}

// keepRecords adds records, up to an offset, to those kept for gossip peers. The
// caller holds stateMu.
func (v *View) keepRecords(records []wharfstream.Record, upTo uint64) {
	for _, r := range records {
		if r.Offset > upTo {
			break
		}
		switch {
		case len(v.records) == 0 || r.Offset == v.records[len(v.records)-1].Offset+1:
			v.records = append(v.records, r)
		case r.Offset > v.records[len(v.records)-1].Offset:
			v.records = []wharfstream.Record{r}
		}
	}
	if extra := extraRecords(v.records); extra > 0 {
		v.records = append([]wharfstream.Record(nil), v.records[extra:]...)
	}
}

// extraRecords returns how many of the first records exceed what is kept.
func extraRecords(records []wharfstream.Record) int {
	size := 0
	for i := len(records) - 1; i >= 0; i-- {
		size += len(records[i].Data)
		if i < len(records)-1 && (size > maxKeptBytes || len(records)-i > maxKeptRecords) {
			return i + 1
		}
	}
	return 0
}

// RecordsAfter returns the kept records after an offset, up to maxBytes bytes of
// data but at least one record. The result is false if there are others after the offset
// that are not kept, before those that are returned.
func (v *View) RecordsAfter(offset uint64, maxBytes int) ([]wharfstream.Record, bool) {
	v.stateMu.Lock()
	defer v.stateMu.Unlock()
	if v.state.Load().Offset() <= offset {
		return nil, true
	}
	if len(v.records) == 0 {
		return nil, false
	}
	first := v.records[0].Offset
	rest := v.records[max(offset+1, first)-first:]
	return firstRecords(rest, maxBytes), first <= offset+1
}

// firstRecords returns the first of some records, up to maxBytes bytes of data but at least
// one record.
func firstRecords(records []wharfstream.Record, maxBytes int) []wharfstream.Record {
	size := 0
	for i, r := range records {
		size += len(r.Data)
		if size > maxBytes && i > 0 {
			return records[:i:i]
		}
	}
	return records[:len(records):len(records)]
}

// notify wakes all goroutines that wait for a change.
func (v *View) notify() {
	v.version.Add(1)
	v.changedMu.Lock()
	defer v.changedMu.Unlock()
	close(v.changed)
	v.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change of state or members.
func (v *View) Changed() <-chan struct{} {
	v.changedMu.Lock()
	defer v.changedMu.Unlock()
	return v.changed
}
