package wharfstate

import (
	"time"

	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharf/wharfidempotency"
	"ragwortwharf.dev/wharf/wharfroute"
	"ragwortwharf.dev/wharf/wharfstream"
)

// State is the fold of the log up to an offset. It never changes; WithRecords
// returns a new one. A nil State is empty.
type State struct {
	offset    uint64
	time      time.Time
	config    *wharfconfig.Snapshot
	ownership *wharfidempotency.OwnershipTable
	routes    *wharfroute.Table
	// snapshotOffset is where the last snapshot record stands.
	snapshotOffset uint64
}

// Offset returns the offset of the last record that was folded.
func (s *State) Offset() uint64 {
	if s == nil {
		return 0
	}
	return s.offset
}

// Time returns the time of the last record that was folded.
func (s *State) Time() time.Time {
	if s == nil {
		return time.Time{}
	}
	return s.time
}

// Config returns the configuration.
func (s *State) Config() *wharfconfig.Snapshot {
	if s == nil {
		return nil
	}
	return s.config
}

// Ownership returns the ownership of keys.
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

// SnapshotOffset returns the offset of the last snapshot record that was seen
// in the log, so that a writer knows when the next one is due.
func (s *State) SnapshotOffset() uint64 {
	if s == nil {
		return 0
	}
	return s.snapshotOffset
}

// WithRecords folds the records that continue the state. Records at or below
// its offset are skipped. Where records are missing, a snapshot among those
// given bridges the gap, or a set of routes if the state consists of routes
// alone; without one the state stops before it.
func (s *State) WithRecords(records []wharfstream.Record) *State {
	if len(records) > 0 && records[0].Offset > s.Offset()+1 {
		s = s.skipGap(records)
	}
	f := applier{base: s, offset: s.Offset(), time: s.Time(), snapshotOffset: s.SnapshotOffset()}
	for _, r := range records {
		if r.Offset > f.offset+1 && (!s.onlyRoutes() || !hasRoutes(r)) {
			break
		}
		f.offset = max(f.offset, r.Offset-1)
		if r.Offset == f.offset+1 {
			f.add(r)
		}
	}
	return f.state()
}

// onlyRoutes reports whether nothing but routes was ever folded.
func (s *State) onlyRoutes() bool {
	return s.Config() == nil && s.Ownership() == nil
}

func hasRoutes(r wharfstream.Record) bool {
	e, ok := Decode(r)
	return ok && e.Routes != nil
}

// skipGap returns the furthest snapshot among the records, or the state itself
// if there is none beyond it.
func (s *State) skipGap(records []wharfstream.Record) *State {
	best := s
	for _, r := range records {
		e, ok := Decode(r)
		if !ok || e.Snapshot == nil {
			continue
		}
		loaded, err := Load(e.Snapshot)
		if err == nil && loaded.Offset() > best.Offset() && loaded.Offset() < r.Offset {
			best = loaded
		}
	}
	return best
}

// applier collects the records of one call, so that maps are copied once.
type applier struct {
	base             *State
	offset           uint64
	time             time.Time
	snapshotOffset   uint64
	changes          []wharfconfig.LoggedChange
	ownershipRecords []wharfidempotency.LoggedRecord
	routes           *wharfroute.Set
}

func (f *applier) add(r wharfstream.Record) {
	f.offset, f.time = r.Offset, r.Time
	e, ok := Decode(r)
	switch {
	case !ok:
	case e.Change != nil:
		f.changes = append(f.changes, wharfconfig.LoggedChange{Change: *e.Change, Offset: r.Offset, Time: r.Time})
	case e.Ownership != nil:
		f.ownershipRecords = append(f.ownershipRecords, wharfidempotency.LoggedRecord{Record: *e.Ownership, Offset: r.Offset, Time: r.Time})
	case e.Routes != nil:
		f.addRoutes(e.Routes)
	case e.Snapshot != nil:
		f.snapshotOffset = r.Offset
	}
}

// addRoutes takes a set of routes if its version is higher.
func (f *applier) addRoutes(set *wharfroute.Set) {
	version := f.base.Routes().Version()
	if f.routes != nil {
		version = f.routes.Version
	}
	if set.Version > version {
		f.routes = set
	}
}

func (f *applier) state() *State {
	if f.base != nil && f.offset == f.base.offset {
		return f.base
	}
	next := &State{
		offset: f.offset, time: f.time, snapshotOffset: f.snapshotOffset,
		config: f.base.Config(), ownership: f.base.Ownership(), routes: f.base.Routes(),
	}
	if len(f.changes) > 0 {
		next.config = next.config.WithChanges(f.changes)
	}
	if len(f.ownershipRecords) > 0 {
		next.ownership = next.ownership.WithRecords(f.ownershipRecords)
	}
	if f.routes != nil {
		next.routes = wharfroute.NewTable(*f.routes)
	}
	return next
}
