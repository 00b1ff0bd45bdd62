package wharfidempotency

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortwharf.dev/wharf/wharfoutcome"
)

// State is the state of a key on one node.
type State uint8

// States of a key.
const (
	// Absent means that the node has no entry for the key.
	Absent State = iota
	// Waiting means that the request was accepted but not yet dispatched.
	Waiting
	// Running means that the request was dispatched to the target.
	Running
	// Done means that the target responded.
	Done
	// Lost means that the request was dispatched and its result is unknown.
	Lost
	// Closed means that the key doesn't run on this node unless the node
	// becomes its owner again.
	Closed
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"absent", "waiting", "running", "done", "lost", "closed"}[min(s, Closed)]
}

// KeyID identifies a key. Equal keys of different callers are different keys.
type KeyID struct {
	Service string
	Caller  string
	Key     string
}

func (id KeyID) hash() uint64 {
	return xxhash.Sum64String(id.Service + "\x00" + id.Caller + "\x00" + id.Key)
}

// Response is the stored response of a target.
type Response struct {
	Status  int
	Headers []ResponseHeader
	Body    []byte
	// Complete is false if the body was too large to store.
	Complete bool
}

// ResponseHeader is one header of a response.
type ResponseHeader struct {
	Name   string
	Values []string
}

// KeyEntry is the entry of a key on one node.
type KeyEntry struct {
	State       State
	Fingerprint uint64
	Response    *Response
	// Changed is when the entry entered its state.
	Changed time.Time
	// ClosedAt is the log offset at which a closed key was closed. If the node
	// becomes the owner again after this offset, it asks the owners in between,
	// so the key may run on it again.
	ClosedAt uint64
}

// KeyStore holds the key entries of one node. It keeps the entries of dispatched
// and of closed keys until callers may no longer resend the key; when it is full,
// it refuses new keys. It is safe for concurrent use. The zero KeyStore is empty.
type KeyStore struct {
	shards [keyShards]keyShard
}

func (k *KeyStore) shard(id KeyID) *keyShard {
	return &k.shards[id.hash()%keyShards]
}

// Action is what the node does with a request for a key.
type Action uint8

// Actions on a request for a key.
const (
	// Proceed means that the key was new and is now waiting.
	Proceed Action = iota
	// Join means that the request is waiting or running; the caller waits for
	// its result.
	Join
	// Replay means that the caller gets the stored response.
	Replay
	// Refuse means that the caller gets the outcome instead of a response.
	Refuse
)

// Decision is the decision on a request for a key. Response is set for Replay,
// Outcome for Refuse.
type Decision struct {
	Action   Action
	Response *Response
	Outcome  wharfoutcome.Outcome
}

// Begin decides on a request for a key. It adds a new key as waiting. ownedFrom is
// the log offset at which this node became the owner of the key; a key that was
// closed before that offset is treated as new.
func (k *KeyStore) Begin(now time.Time, id KeyID, fingerprint, ownedFrom uint64) Decision {
	s := k.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, known := s.entries[id]
	if !known || e.State == Closed && e.ClosedAt < ownedFrom {
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

// Lookup decides on a request for a key that was dispatched on this node, and
// reports whether the key was dispatched. It adds no entry.
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

// decide returns the decision that follows from the state of an entry.
func (e KeyEntry) decide() Decision {
	switch {
	case e.State == Waiting || e.State == Running:
		return Decision{Action: Join}
	case e.State == Done && e.Response != nil && e.Response.Complete:
		return Decision{Action: Replay, Response: e.Response}
	case e.State == Done:
		o := wharfoutcome.Done()
		o.Reason = wharfoutcome.ReasonResponseNotStored
		return refusal(o)
	case e.State == Closed:
		return refusal(wharfoutcome.Refuse(wharfoutcome.ReasonKeyClosed))
	default:
		return refusal(wharfoutcome.Uncertain(wharfoutcome.ReasonResponseLost))
	}
}

func refusal(o wharfoutcome.Outcome) Decision {
	return Decision{Action: Refuse, Outcome: o}
}

// Dispatch moves a waiting key to running and reports whether it did. It returns
// false if the key was closed in the meantime; the request must then not be sent
// to the target.
func (k *KeyStore) Dispatch(now time.Time, id KeyID) bool {
	return k.advance(now, id, Waiting, KeyEntry{State: Running})
}

// Finish stores the response of the target. If the body is too large or the shard
// has no space for it, Finish stores only the status.
func (k *KeyStore) Finish(now time.Time, id KeyID, response *Response) {
	if response != nil && len(response.Body) > MaxStoredBody {
		response = &Response{Status: response.Status}
	}
	k.advance(now, id, Running, KeyEntry{State: Done, Response: response})
}

// MarkLost records that a dispatched request ended without a response.
func (k *KeyStore) MarkLost(now time.Time, id KeyID) {
	k.advance(now, id, Running, KeyEntry{State: Lost})
}

// advance replaces an entry if it is in the state from, and reports whether it
// did.
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

// Abandon deletes a key whose request was refused before its dispatch, so that a
// resend may run. A key that was closed in the meantime stays closed.
func (k *KeyStore) Abandon(id KeyID) {
	s := k.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, known := s.entries[id]; known && e.State == Waiting {
		s.drop(id)
	}
}

// Rollback deletes a dispatched key after the target reported that it did not run
// the request.
func (k *KeyStore) Rollback(id KeyID) {
	s := k.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, known := s.entries[id]; known && e.State == Running {
		s.drop(id)
	}
}

// Close returns the entry of a key that was dispatched on this node. It closes a
// key that was not dispatched, so that the key can't run on this node unless the
// node becomes its owner again after the log offset; for such a key it returns an
// Absent entry.
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

// MergePrevious merges the entry of a previous owner into a key that waits on
// this node, and decides on the request.
func (k *KeyStore) MergePrevious(now time.Time, id KeyID, previous KeyEntry) Decision {
	if previous.State == Absent || previous.State == Closed {
		return Decision{Action: Proceed}
	}
	s := k.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if previous.State != Done {
		// The request is running on the previous owner, or its result is lost.
		// The next resend asks the previous owner again, so no entry is needed.
		s.drop(id)
		return refusal(wharfoutcome.Uncertain(wharfoutcome.ReasonOwnerMoved))
	}
	mismatch := s.entries[id].Fingerprint != previous.Fingerprint
	previous.Changed = now
	s.put(id, previous)
	if mismatch {
		return refusal(wharfoutcome.Refuse(wharfoutcome.ReasonKeyMismatch))
	}
	return previous.decide()
}

// ExportedKey is an entry and its key, as a node hands them over to the next
// owner.
type ExportedKey struct {
	ID    KeyID
	Entry KeyEntry
}

// Export returns the entries of all dispatched keys, which the next owner needs.
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

// Import merges an entry that a previous owner hands over. An entry of a key that
// was dispatched on this node is kept. A waiting or closed entry is replaced,
// because the key was dispatched on the previous owner. A key that was still
// running there becomes lost.
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
