package wharfstate

import (
	"time"

	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharf/wharfidempotency"
	"ragwortwharf.dev/wharf/wharfroute"
	"ragwortwharf.dev/wharf/wharfstream"
)

// State is the result of applying the log up to an offset. It is immutable and
// safe for concurrent use; WithRecords returns a new state. A nil State is
// empty.
type State struct {
	offset    uint64
	time      time.Time
	config    *wharfconfig.Snapshot
	ownership *wharfidempotency.OwnershipTable
	routes    *wharfroute.Table
	// snapshotOffset is the offset of the last snapshot record that was applied.
	snapshotOffset uint64
}

// Offset returns the offset of the last record that was applied.
func (s *State) Offset() uint64 {
	if s == nil {
		return 0
	}
	return s.offset
}

// Time returns the time of the last record that was applied, by the clock of
// the log service.
func (s *State) Time() time.Time {
	if s == nil {
		return time.Time{}
	}
	return s.time
}

// Config returns the configuration, nil if no change was applied.
func (s *State) Config() *wharfconfig.Snapshot {
	if s == nil {
		return nil
	}
	return s.config
}

// Ownership returns the ownership of keys, nil if no ownership record was
// applied.
func (s *State) Ownership() *wharfidempotency.OwnershipTable {
	if s == nil {
		return nil
	}
	return s.ownership
}

// Routes returns the routes, nil if there are none.
func (s *State) Routes() *wharfroute.Table {
	if s == nil {
		return nil
	}
	return s.routes
}

// SnapshotOffset returns the offset of the last snapshot record that was applied
// from the log. The node that writes snapshots uses it to decide when the next
// one is due.
func (s *State) SnapshotOffset() uint64 {
	if s == nil {
		return 0
	}
	return s.snapshotOffset
}

// WithRecords applies the records that follow the state and returns the new
// state. The records must be in log order; those at or below the offset of the
// state are skipped. If records are missing, a snapshot among the given records
// skips the gap. A set of routes also skips it if the state holds only routes.
// Otherwise the state stops before the gap.
func (s *State) WithRecords(records []wharfstream.Record) *State {
	if len(records) > 0 && records[0].Offset > s.Offset()+1 {
		s = s.skipGap(records)
	}
	a := applier{base: s, offset: s.Offset(), time: s.Time(), snapshotOffset: s.SnapshotOffset()}
	for _, r := range records {
		if r.Offset <= a.offset {
			continue
		}
		if r.Offset > a.offset+1 && (!s.onlyRoutes() || !hasRoutes(r)) {
			break
		}
		// Skip a gap before a set of routes. Without a gap, the offset stays the same.
		a.offset = r.Offset - 1
		a.add(r)
	}
	return a.state()
}

// WithNewerRoutes returns the state with the routes of another state, if those have a higher
// version.
func (s *State) WithNewerRoutes(other *State) *State {
	if other.Routes().Version() <= s.Routes().Version() {
		return s
	}
	next := *s
	next.routes = other.Routes()
	return &next
}

// onlyRoutes reports whether the state holds neither configuration changes nor
// ownership records.
func (s *State) onlyRoutes() bool {
	return s.Config() == nil && s.Ownership() == nil
}

func hasRoutes(r wharfstream.Record) bool {
	e, ok := Decode(r)
	return ok && e.Routes != nil
}

// skipGap returns the state in the snapshot with the highest offset among the
// records, or s if no snapshot is newer than s.
func (s *State) skipGap(records []wharfstream.Record) *State {
	newest := s
	for _, r := range records {
		e, ok := Decode(r)
		if !ok || e.Snapshot == nil {
			continue
		}
		loaded, err := Restore(e.Snapshot)
		if err == nil && loaded.Offset() > newest.Offset() && loaded.Offset() < r.Offset {
			newest = loaded
		}
	}
	return newest
}

// applier collects the records of one WithRecords call, so that the maps in the
// configuration and in the ownership table are copied only once.
type applier struct {
	base             *State
	offset           uint64
	time             time.Time
	snapshotOffset   uint64
	changes          []wharfconfig.LoggedChange
	ownershipRecords []wharfidempotency.LoggedRecord
	routes           *wharfroute.Set
}

func (a *applier) add(r wharfstream.Record) {
	a.offset, a.time = r.Offset, r.Time
	e, ok := Decode(r)
	switch {
	case !ok:
	case e.Change != nil:
		a.changes = append(a.changes, wharfconfig.LoggedChange{Change: *e.Change, Offset: r.Offset, Time: r.Time})
	case e.Ownership != nil:
		a.ownershipRecords = append(a.ownershipRecords, wharfidempotency.LoggedRecord{Record: *e.Ownership, Offset: r.Offset, Time: r.Time})
	case e.Routes != nil:
		a.addRoutes(e.Routes)
	case e.Snapshot != nil:
		a.snapshotOffset = r.Offset
	}
}

// addRoutes keeps a set of routes unless its version is lower than the current one. Of two
// sets with one version, the later one in the log holds.
func (a *applier) addRoutes(set *wharfroute.Set) {
	version := a.base.Routes().Version()
	if a.routes != nil {
		version = a.routes.Version
	}
	if set.Version >= version {
		a.routes = set
	}
}

func (a *applier) state() *State {
	if a.base != nil && a.offset == a.base.offset {
		return a.base
	}
	next := &State{
		offset: a.offset, time: a.time, snapshotOffset: a.snapshotOffset,
		config: a.base.Config(), ownership: a.base.Ownership(), routes: a.base.Routes(),
	}
	if len(a.changes) > 0 {
		next.config = next.config.WithChanges(a.changes)
	}
	if len(a.ownershipRecords) > 0 {
		next.ownership = next.ownership.WithRecords(a.ownershipRecords)
	}
	if a.routes != nil {
		next.routes = wharfroute.NewTable(*a.routes)
	}
	return next
}
