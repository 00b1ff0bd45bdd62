package wharfstate

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/samber/oops"

	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharf/wharfidempotency"
	"ragwortwharf.dev/wharf/wharfroute"
	"ragwortwharf.dev/wharf/wharfstream"
)

// StateStream is the stream of the platform's log that holds all records of the
// state.
const StateStream = "wharf-state"

// AuditStream is the stream to which nodes write the actions that they take.
const AuditStream = "wharf-audit"

// Envelope is the form of a record in the log. Exactly one field is set.
type Envelope struct {
	Change    *wharfconfig.Change               `json:"change,omitempty"`
	Ownership *wharfidempotency.OwnershipRecord `json:"home,omitempty"` // stored under its earlier name
	// Snapshot is a whole state in the form that State.Save returns.
	Snapshot []byte `json:"snapshot,omitempty"`
	// Routes is a complete set of routes. It replaces all earlier sets, so that
	// missing route records before it have no effect.
	Routes *wharfroute.Set `json:"routes,omitempty"`
}

// Encode returns the envelope as JSON.
func (e Envelope) Encode() ([]byte, error) {
	return json.Marshal(e)
}

// Decode parses a record and reports whether that succeeded. All nodes skip a
// record that can't be parsed.
func Decode(r wharfstream.Record) (Envelope, bool) {
	var e Envelope
	if err := json.Unmarshal(r.Data, &e); err != nil {
		return Envelope{}, false
	}
	return e, true
}

// saved is the serialized form of a state.
type saved struct {
	Offset    uint64                 `json:"offset"`
	Time      time.Time              `json:"time"`
	Config    wharfconfig.Saved      `json:"config"`
	Ownership wharfidempotency.Saved `json:"homes"` // stored under its earlier name
	Routes    *wharfroute.Set        `json:"routes,omitempty"`
}

// Save returns the serialized form of a state, compressed with gzip.
func (s *State) Save() ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	stored := saved{Offset: s.Offset(), Time: s.Time(), Config: s.Config().Save(), Ownership: s.Ownership().Save()}
	if t := s.Routes(); t != nil {
		set := t.Set()
		stored.Routes = &set
	}
	if err := json.NewEncoder(w).Encode(stored); err != nil {
		return nil, oops.Code("snapshot-encode").Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, oops.Code("snapshot-encode").Wrap(err)
	}
	return b.Bytes(), nil
}

// maxSnapshotBytes limits the uncompressed size of a serialized state.
const maxSnapshotBytes = 256 << 20

// Restore rebuilds a state from its serialized form.
func Restore(data []byte) (*State, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, oops.Code("snapshot-decode").Wrap(err)
	}
	var stored saved
	if err := json.NewDecoder(io.LimitReader(r, maxSnapshotBytes)).Decode(&stored); err != nil {
		return nil, oops.Code("snapshot-decode").Wrap(err)
	}
	if slices.ContainsFunc(stored.Config.Objects, func(o wharfconfig.Object) bool { return o.Document == nil }) {
		return nil, oops.Code("snapshot-decode").Errorf("an object has no document")
	}
	state := &State{
		offset: stored.Offset,
		time:   stored.Time,
	}
	// The parts that were never set stay nil, because onlyRoutes depends on it.
	if stored.Config.Offset > 0 {
		state.config = wharfconfig.Restore(stored.Config)
	}
	if !stored.Ownership.Empty() {
		state.ownership = wharfidempotency.Restore(stored.Ownership)
	}
	if stored.Routes != nil {
		state.routes = wharfroute.NewTable(*stored.Routes)
	}
	return state, nil
}
