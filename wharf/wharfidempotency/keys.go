package wharfidempotency

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortwharf.dev/wharf/wharfoutcome"
)

// State is how far a key has come at one home.
type State uint8

// States of a key.
const (
	// Absent means that the home knows nothing of the key.
	Absent State = iota
	// Waiting means that the request was taken but not yet dispatched.
	Waiting
	// Running means that the target has the request.
	Running
	// Done means that the target answered.
	Done
	// Lost means that the request was dispatched and its end is not known.
	Lost
	// Closed means that the key never runs here.
	Closed
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"absent", "waiting", "running", "done", "lost", "closed"}[min(s, Closed)]
}

// KeyID identifies a key. Keys of different callers never meet.
type KeyID struct {
	Service string
	Caller  string
	Key     string
}

func (id KeyID) hash() uint64 {
	return xxhash.Sum64String(id.Service + "\x00" + id.Caller + "\x00" + id.Key)
}

// Response is what is kept of the answer of a target.
type Response struct {
	Status  int
	Headers []ResponseHeader
	Body    []byte
	// Complete is false if the body was too large to keep.
	Complete bool
}

// ResponseHeader is one header of an answer.
type ResponseHeader struct {
	Name   string
	Values []string
}

// KeyEntry is what a home remembers of a key.
type KeyEntry struct {
	State       State
	Fingerprint uint64
	Response    *Response
	// Changed is when the entry came into its state.
	Changed time.Time
	// ClosedAt is the offset of the log at which a closed key was closed. A
	// home that gains the key by a later move asks the homes in between, so
	// for it the key is open again.
	ClosedAt uint64
}

// KeyStore are the records of one home. They are never forgotten before the
// horizon of resends has passed; when they are full, new keys are refused.
// The zero KeyStore is empty.
type KeyStore struct {
	shards [keyShards]keyShard
}

func (k *KeyStore) shard(id KeyID) *keyShard {
	return &k.shards[id.hash()%keyShards]
}

// Action is what the home does with a request for a key.
type Action uint8

// Steps of a home.
const (
	// Proceed means that the key is new and now waiting.
	Proceed Action = iota
	// Join means that the request is under way; the caller awaits its end.
	Join
	// Replay means that the kept answer is the answer.
	Replay
	// Refuse means that the outcome is the answer.
	Refuse
)

// Decision is the decision on a request for a key.
type Decision struct {
	Action   Action
	Response *Response
	Outcome  wharfoutcome.Outcome
}

// Begin decides on a request for a key that the home has had since an offset.
func (k *KeyStore) Begin(now time.Time, id KeyID, fingerprint, since uint64) Decision {
	s := k.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, known := s.entries[id]
	if !known || e.State == Closed && e.ClosedAt < since {
		if !known && s.full(id.Caller) {
			return refusal(wharfoutcome.Refuse(wharfoutcome.ReasonKeyTableFull))
		}
		s.put(id, KeyEntry{State: Waiting, Fingerprint: fingerprint, Changed: now})
		return Decision{Action: Proceed}
	}
	if e.State != Closed && e.Fingerprint != fingerprint {
		return refusal(wharfoutcome.Refuse(wharfoutcome.ReasonKeyMismatch))
	}
	return e.decide()
}

// Lookup decides on a request for a key that was dispatched here, and reports
// whether one was. It takes no key.
func (k *KeyStore) Lookup(id KeyID, fingerprint uint64) (Decision, bool) {
	s := k.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, known := s.entries[id]
	if !known || e.State == Waiting || e.State == Closed {
		return Decision{}, false
	}
	if e.Fingerprint != fingerprint {
		return refusal(wharfoutcome.Refuse(wharfoutcome.ReasonKeyMismatch)), true
	}
	return e.decide(), true
}

func (e KeyEntry) decide() Decision {
	switch {
	case e.State == Waiting || e.State == Running:
		return Decision{Action: Join}
	case e.State == Done && e.Response != nil && e.Response.Complete:
		return Decision{Action: Replay, Response: e.Response}
	case e.State == Done:
		o := wharfoutcome.Done()
		o.Reason = wharfoutcome.ReasonAnswerNotKept
		return refusal(o)
	case e.State == Closed:
		return refusal(wharfoutcome.Refuse(wharfoutcome.ReasonKeyClosed))
	default:
		return refusal(wharfoutcome.Uncertain(wharfoutcome.ReasonAnswerLost))
	}
}

func refusal(o wharfoutcome.Outcome) Decision {
	return Decision{Action: Refuse, Outcome: o}
}

// Dispatch moves a waiting key to running. It is false if the key was closed
// meanwhile, and then the request must not reach the target.
func (k *KeyStore) Dispatch(now time.Time, id KeyID) bool {
	return k.advance(now, id, Waiting, KeyEntry{State: Running})
}

// Finish records the answer of the target.
func (k *KeyStore) Finish(now time.Time, id KeyID, answer *Response) {
	if answer != nil && len(answer.Body) > MaxStoredBody {
		answer = &Response{Status: answer.Status}
	}
	k.advance(now, id, Running, KeyEntry{State: Done, Response: answer})
}

// MarkLost records that a dispatched request ended without an answer.
func (k *KeyStore) MarkLost(now time.Time, id KeyID) {
	k.advance(now, id, Running, KeyEntry{State: Lost})
}

// advance changes the state of an entry if it is the expected one.
func (k *KeyStore) advance(now time.Time, id KeyID, from State, to KeyEntry) bool {
	s := k.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, known := s.entries[id]
	if !known || e.State != from {
		return false
	}
	to.Fingerprint, to.Changed = e.Fingerprint, now
	if to.Response != nil && s.bytes+len(to.Response.Body) > maxBytesPerShard {
		to.Response = &Response{Status: to.Response.Status}
	}
	s.put(id, to)
	return true
}

// Abandon forgets a key that was refused before its dispatch, so that a resend
// may run. A key that was closed meanwhile stays closed.
func (k *KeyStore) Abandon(id KeyID) {
	s := k.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, known := s.entries[id]; known && e.State == Waiting {
		s.drop(id)
	}
}

// Rollback forgets a dispatched key of which the target itself said that it
// did not run it.
func (k *KeyStore) Rollback(id KeyID) {
	s := k.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, known := s.entries[id]; known && e.State == Running {
		s.drop(id)
	}
}

// Close answers a question about a key, and makes sure that a key that hasn't
// been dispatched never will be, unless the home gains it anew after the
// offset. The entry returned is Absent if the key has not run here.
func (k *KeyStore) Close(now time.Time, id KeyID, offset uint64) KeyEntry {
	s := k.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, known := s.entries[id]
	if known && e.State != Waiting && e.State != Closed {
		return e
	}
	s.put(id, KeyEntry{State: Closed, Changed: now, ClosedAt: max(offset, e.ClosedAt)})
	return KeyEntry{State: Absent}
}

// MergePrevious takes the entry of an earlier home for a key that waits here. It
// returns what to do with the request now.
func (k *KeyStore) MergePrevious(now time.Time, id KeyID, earlier KeyEntry) Decision {
	if earlier.State == Absent || earlier.State == Closed {
		return Decision{Action: Proceed}
	}
	s := k.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if earlier.State != Done {
		// The request runs elsewhere, or its end is lost. The next resend asks
		// again, so nothing is kept here.
		s.drop(id)
		return refusal(wharfoutcome.Uncertain(wharfoutcome.ReasonHomeMoved))
	}
	mismatch := s.entries[id].Fingerprint != earlier.Fingerprint
	earlier.Changed = now
	s.put(id, earlier)
	if mismatch {
		return refusal(wharfoutcome.Refuse(wharfoutcome.ReasonKeyMismatch))
	}
	return earlier.decide()
}

// ExportedKey is an entry with its key, as it is handed over.
type ExportedKey struct {
	ID    KeyID
	Entry KeyEntry
}

// Export returns the entries that the next home has to know.
func (k *KeyStore) Export() []ExportedKey {
	var out []ExportedKey
	for i := range k.shards {
		s := &k.shards[i]
		s.mu.Lock()
		for id, e := range s.entries {
			if e.State == Done || e.State == Lost || e.State == Running {
				out = append(out, ExportedKey{id, e})
			}
		}
		s.mu.Unlock()
	}
	return out
}

// Import takes an entry that an earlier home hands over. What has run here is
// known better; what was closed here has run there.
func (k *KeyStore) Import(x ExportedKey) {
	s := k.shard(x.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, known := s.entries[x.ID]
	if known && e.State != Waiting && e.State != Closed {
		return
	}
	if x.Entry.State == Running {
		x.Entry.State = Lost
	}
	s.put(x.ID, x.Entry)
}
