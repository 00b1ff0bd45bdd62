package wharfidempotency

import (
	"sync"
	"time"
)

// Limits of the memory of a KeyStore.
const (
	// MaxStoredBody is the largest body that is kept, in bytes.
	MaxStoredBody = 16 << 10
	keyShards     = 32
	// maxKeysPerShard and maxBytesPerShard bound one shard.
	maxKeysPerShard  = 2048
	maxBytesPerShard = 1 << 20
	// entryBytes is the memory of an entry without its answer.
	entryBytes = 256
)

// keyShard is a part of the keys under its own lock.
type keyShard struct {
	mu      sync.Mutex
	entries map[KeyID]KeyEntry
	callers map[string]int
	bytes   int
}

// generatedKeyTTL is how long a key that a node minted is kept. Nobody resends it;
// its sender asks about it at most once, soon after the answer was lost.
const generatedKeyTTL = 2 * time.Minute

// generated reports whether the key was made by a node for one attempt.
func (id KeyID) generated() bool {
	return id.Service == ""
}

// Expire forgets keys whose last change is older than the horizon.
func (k *KeyStore) Expire(now time.Time, horizon time.Duration) int {
	n := 0
	for i := range k.shards {
		s := &k.shards[i]
		s.mu.Lock()
		for id, e := range s.entries {
			ended := e.State == Done || e.State == Lost || e.State == Closed
			life := horizon
			if id.generated() {
				life = min(generatedKeyTTL, horizon)
			}
			if ended && now.Sub(e.Changed) > life {
				s.drop(id)
				n++
			}
		}
		s.mu.Unlock()
	}
	return n
}

// Len returns the number of keys.
func (k *KeyStore) Len() int {
	n := 0
	for i := range k.shards {
		s := &k.shards[i]
		s.mu.Lock()
		n += len(s.entries)
		s.mu.Unlock()
	}
	return n
}

func (s *keyShard) put(id KeyID, e KeyEntry) {
	if s.entries == nil {
		s.entries = make(map[KeyID]KeyEntry)
		s.callers = make(map[string]int)
	}
	old, known := s.entries[id]
	if !known {
		s.callers[id.Caller]++
	}
	s.bytes += responseBytes(e) - responseBytes(old)
	s.entries[id] = e
}

func (s *keyShard) drop(id KeyID) {
	e, known := s.entries[id]
	if !known {
		return
	}
	s.bytes -= responseBytes(e)
	delete(s.entries, id)
	s.callers[id.Caller]--
	if s.callers[id.Caller] == 0 {
		delete(s.callers, id.Caller)
	}
}

func responseBytes(e KeyEntry) int {
	if e.Response == nil {
		return 0
	}
	return len(e.Response.Body)
}

// full reports whether a caller may add no key: the shard is full, or it is
// half full and the caller has more than its share.
func (s *keyShard) full(caller string) bool {
	if len(s.entries) >= maxKeysPerShard {
		return true
	}
	if len(s.entries) < maxKeysPerShard/2 {
		return false
	}
	share := maxKeysPerShard / (len(s.callers) + 1)
	return s.callers[caller] >= share
}

// Bytes returns an estimate of the memory in use, in bytes.
func (k *KeyStore) Bytes() int {
	n := 0
	for i := range k.shards {
		s := &k.shards[i]
		s.mu.Lock()
		n += s.bytes + len(s.entries)*entryBytes
		s.mu.Unlock()
	}
	return n
}
