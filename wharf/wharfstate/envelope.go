package wharfstate

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"time"

	"github.com/samber/oops"

	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharf/wharfidempotency"
	"ragwortwharf.dev/wharf/wharfroute"
	"ragwortwharf.dev/wharf/wharfstream"
)

// Stream is the stream of the platform's log that all records stand in.
const Stream = "wharf-state"

// AuditStream is the stream that nodes write their own acts to.
const AuditStream = "wharf-audit"

// Envelope is the form of a record in the log. Exactly one field is set.
type Envelope struct {
	Change    *wharfconfig.Change               `json:"change,omitempty"`
	Ownership *wharfidempotency.OwnershipRecord `json:"home,omitempty"`
	Snapshot  []byte                            `json:"snapshot,omitempty"`
	// Routes is a whole set of routes. It takes the place of all earlier ones,
	// so records that are missing before it don't matter.
	Routes *wharfroute.Set `json:"routes,omitempty"`
}

// Encode returns the stored form of an envelope.
func (e Envelope) Encode() ([]byte, error) {
	return json.Marshal(e)
}

// Decode reads a record. What can't be read is skipped by all nodes alike.
func Decode(r wharfstream.Record) (Envelope, bool) {
	var e Envelope
	if err := json.Unmarshal(r.Data, &e); err != nil {
		return Envelope{}, false
	}
	return e, true
}

// saved is the stored form of a state.
type saved struct {
	Offset    uint64                 `json:"offset"`
	Time      time.Time              `json:"time"`
	Config    wharfconfig.Saved      `json:"config"`
	Ownership wharfidempotency.Saved `json:"homes"`
	Routes    *wharfroute.Set        `json:"routes,omitempty"`
}

// Save returns the compressed stored form of a state.
func (s *State) Save() ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	form := saved{Offset: s.Offset(), Time: s.Time(), Config: s.Config().Save(), Ownership: s.Ownership().Save()}
	if t := s.Routes(); t != nil {
		set := t.Set()
		form.Routes = &set
	}
	if err := json.NewEncoder(w).Encode(form); err != nil {
		return nil, oops.Code("snapshot-encode").Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, oops.Code("snapshot-encode").Wrap(err)
	}
	return b.Bytes(), nil
}

// maxSnapshotBytes bounds what a stored form may unpack to.
const maxSnapshotBytes = 256 << 20

// Load rebuilds a state from its stored form.
func Load(data []byte) (*State, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, oops.Code("snapshot-decode").Wrap(err)
	}
	var form saved
	if err := json.NewDecoder(io.LimitReader(r, maxSnapshotBytes)).Decode(&form); err != nil {
		return nil, oops.Code("snapshot-decode").Wrap(err)
	}
	state := &State{
		offset: form.Offset,
		time:   form.Time,
	}
	// A state without changes or homes stays so, see onlyRoutes.
	if form.Config.Offset > 0 {
		state.config = wharfconfig.Load(form.Config)
	}
	if !form.Ownership.Empty() {
		state.ownership = wharfidempotency.Load(form.Ownership)
	}
	if form.Routes != nil {
		state.routes = wharfroute.NewTable(*form.Routes)
	}
	return state, nil
}
