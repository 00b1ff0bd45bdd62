package wharfidempotency

import (
	"sync"
	"time"
)

// Limits of the memory of a KeyStore.
const (
	// MaxStoredBody is the largest response body that is stored, in bytes.
	MaxStoredBody = 16 << 10
	keyShards     = 32
	// maxKeysPerShard and maxBytesPerShard limit one shard. The bytes are those
	// of the stored response bodies.
	maxKeysPerShard  = 2048
	maxBytesPerShard = 1 << 20
	// entryBytes is the estimated memory of an entry without its response body.
	entryBytes = 256
)

// keyShard holds a part of the keys under its own lock.
type keyShard struct {
	mu      sync.Mutex
	entries map[KeyID]KeyEntry
	callers map[string]int // number of keys of each caller
	bytes   int            // total size of the stored response bodies
}

// generatedKeyTTL is how long a key that a node generated is kept. Callers don't
// resend such a key; the sending node asks about it at most once, soon after the
// response was lost.
const generatedKeyTTL = 2 * time.Minute

// generated reports whether a node generated the key for one attempt. Such a key has
// no service and no caller.
func (id KeyID) generated() bool {
	return id.Service == ""
}

// Expire deletes done, lost and closed keys that entered their state longer ago
// than the retention, and returns their number. For generated keys the retention
// is at most generatedKeyTTL.
func (k *KeyStore) Expire(now time.Time, retention time.Duration) int {
	n := 0
	for i := range k.shards {
		s := &k.shards[i]
		s.mu.Lock()
		for id, e := range s.entries {
			ended := e.State == Done || e.State == Lost || e.State == Closed
			ttl := retention
			if id.generated() {
				ttl = min(generatedKeyTTL, retention)
			}
			if ended && now.Sub(e.Changed) > ttl {
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

// full reports whether the shard has no space for another key of the caller. This
// is so if the shard is full, or if it is at least half full and the caller already
// has an equal share of its capacity. One further caller is counted in the shares.
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

// Bytes returns the estimated memory in use, in bytes.
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
