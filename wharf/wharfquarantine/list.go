package wharfquarantine

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// suspicionTTL is the time after its last crash for which a request stays
	// suspected.
	suspicionTTL = 2 * time.Minute
	// quarantineTTL is the time after its last crash for which a quarantined
	// request is refused.
	quarantineTTL = 10 * time.Minute
	// maxEntries bounds the number of entries, and so the memory, of the list.
	maxEntries = 10_000

	listShards = 16
)

// List holds the entries that one node knows about. The zero List is empty and
// ready to use. It is safe for concurrent use.
type List struct {
	shards [listShards]listShard
}

type listShard struct {
	mu      sync.Mutex
	entries map[Fingerprint]Entry
}

func (l *List) shard(fp Fingerprint) *listShard {
	return &l.shards[uint64(fp)%listShards]
}

// RecordCrash records that a target crashed while requests with the given
// fingerprints were in flight. It returns the changed entries, which the other
// nodes have to merge. A request that is already quarantined is not changed.
func (l *List) RecordCrash(now time.Time, id CrashID, inFlight []Fingerprint) []Entry {
	var changed []Entry
	for _, fp := range inFlight {
		if e, ok := l.addCrash(now, fp, id); ok {
			changed = append(changed, e)
		}
	}
	return changed
}

// addCrash adds a crash to the entry of a fingerprint, and reports whether that
// changed the entry.
func (l *List) addCrash(now time.Time, fp Fingerprint, id CrashID) (Entry, bool) {
	s := l.shard(fp)
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.get(now, fp)
	e, changed := old.withCrash(Crash{CrashID: id})
	if old.Quarantined || !changed {
		return old, false
	}
	e.Expires = now.Add(suspicionTTL)
	if e.Quarantined {
		e.Expires = now.Add(quarantineTTL)
	}
	s.put(now, e)
	return e, true
}

// Merge merges an entry of another node. It ignores an expired one. It reports whether
// the request has become quarantined by it.
func (l *List) Merge(now time.Time, other Entry) bool {
	s := l.shard(other.Fingerprint)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !now.Before(other.Expires) {
		return false
	}
	e := s.get(now, other.Fingerprint)
	before := e.Quarantined
	for _, c := range other.Crashes {
		e, _ = e.withCrash(c)
	}
	// A quarantine that follows from the crashes ends with them. Some of the crashes of another
	// one may have been dropped from its entry.
	e.Quarantined = e.Quarantined || other.Quarantined && !other.hasEnoughCrashes()
	if other.Expires.After(e.Expires) {
		e.Expires = other.Expires
	}
	s.put(now, e)
	return e.Quarantined && !before
}

// RecordSuccess clears a suspected request that completed without a crash, and ends its
// quarantine: it was in flight at another target when it was quarantined. It returns the
// changed entry, which the other nodes have to merge. The result is false if the request was
// not suspected.
func (l *List) RecordSuccess(now time.Time, fp Fingerprint) (Entry, bool) {
	s := l.shard(fp)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.get(now, fp)
	if !e.Suspected() {
		return e, false
	}
	for _, c := range e.Crashes {
		e, _ = e.withCrash(Crash{c.CrashID, true})
	}
	s.put(now, e)
	return e, true
}

// Quarantined reports whether a request must be refused, and returns the time
// until its quarantine expires.
func (l *List) Quarantined(now time.Time, fp Fingerprint) (time.Duration, bool) {
	e, ok := l.lookup(now, fp)
	if !ok || !e.Quarantined {
		return 0, false
	}
	return e.Expires.Sub(now), true
}

// Suspected reports whether a request was in flight during a crash and has not
// completed without a crash since.
func (l *List) Suspected(now time.Time, fp Fingerprint) bool {
	_, suspected := l.Suspicion(now, fp)
	return suspected
}

// Suspicion returns the entry of a suspected request. The result is false if the
// request is not suspected.
func (l *List) Suspicion(now time.Time, fp Fingerprint) (Entry, bool) {
	e, ok := l.lookup(now, fp)
	if !ok || !e.Suspected() {
		return Entry{}, false
	}
	return e, true
}

// lookup returns the entry of a fingerprint. The result is false if there is none or
// it has expired.
func (l *List) lookup(now time.Time, fp Fingerprint) (Entry, bool) {
	s := l.shard(fp)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[fp]
	return e, ok && now.Before(e.Expires)
}

// Entries returns all entries that have not expired, in no particular order.
func (l *List) Entries(now time.Time) []Entry {
	var out []Entry
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for _, e := range s.entries {
			if now.Before(e.Expires) {
				out = append(out, e)
			}
		}
		s.mu.Unlock()
	}
	return out
}

// Counts is how many requests of a List are suspected or quarantined.
type Counts struct {
	// Suspected doesn't include the quarantined ones.
	Suspected, Quarantined int
}

// Counts counts the requests that are suspected or quarantined.
func (l *List) Counts(now time.Time) Counts {
	var n Counts
	for _, e := range l.Entries(now) {
		switch {
		case e.Quarantined:
			n.Quarantined++
		case e.Suspected():
			n.Suspected++
		}
	}
	return n
}

// Sample returns at most n entries: quarantined ones first, in random order within
// each kind. The random order ensures that repeated samples reach the other nodes
// with every entry.
func (l *List) Sample(now time.Time, rng *rand.Rand, n int) []Entry {
	entries := l.Entries(now)
	rng.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	slices.SortStableFunc(entries, func(a, b Entry) int {
		switch {
		case a.Quarantined == b.Quarantined:
			return 0
		case a.Quarantined:
			return -1
		default:
			return 1
		}
	})
	return entries[:min(n, len(entries))]
}

// get returns the entry of a fingerprint, or a new one if there is none or it has
// expired. The caller must hold the lock.
func (s *listShard) get(now time.Time, fp Fingerprint) Entry {
	if e, ok := s.entries[fp]; ok && now.Before(e.Expires) {
		return e
	}
	return Entry{Fingerprint: fp}
}

// put stores an entry and evicts others if the shard is full. The caller must hold
// the lock.
func (s *listShard) put(now time.Time, e Entry) {
	if s.entries == nil {
		s.entries = make(map[Fingerprint]Entry)
	}
	if len(s.entries) >= maxEntries/listShards {
		s.evict(now)
	}
	s.entries[e.Fingerprint] = e
}

// evict drops the expired entries. If the shard is still full, evict drops entries
// that are not quarantined until the shard is no longer full.
func (s *listShard) evict(now time.Time) {
	for fp, e := range s.entries {
		if !now.Before(e.Expires) {
			delete(s.entries, fp)
		}
	}
	for fp, e := range s.entries {
		if len(s.entries) < maxEntries/listShards {
			return
		}
		if !e.Quarantined {
			delete(s.entries, fp)
		}
	}
}
