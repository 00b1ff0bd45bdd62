package wharfquarantine

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// suspicionTTL is how long a suspicion lasts after the last crash.
	suspicionTTL = 2 * time.Minute
	// quarantineTTL is how long a request is refused after the last crash.
	quarantineTTL = 10 * time.Minute
	// maxEntries bounds the memory of the list.
	maxEntries = 10_000

	listShards = 16
)

// List keeps the entries of one node. The zero List is empty.
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

// RecordCrash records that a target crashed while fingerprints were in flight, and
// returns the entries that others have to learn.
func (l *List) RecordCrash(now time.Time, id CrashID, inFlight []Fingerprint) []Entry {
	var changed []Entry
	for _, fp := range inFlight {
		if e, news := l.addCrash(now, fp, id); news {
			changed = append(changed, e)
		}
	}
	return changed
}

func (l *List) addCrash(now time.Time, fp Fingerprint, id CrashID) (Entry, bool) {
	s := l.shard(fp)
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.get(now, fp)
	e, news := old.with(Crash{CrashID: id})
	if old.Quarantined || !news {
		return old, false
	}
	e.Expires = now.Add(suspicionTTL)
	if e.Quarantined {
		e.Expires = now.Add(quarantineTTL)
	}
	s.put(now, e)
	return e, true
}

// Merge takes an entry from another node.
func (l *List) Merge(now time.Time, other Entry) {
	s := l.shard(other.Fingerprint)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !now.Before(other.Expires) {
		return
	}
	e := s.get(now, other.Fingerprint)
	for _, c := range other.Crashes {
		e, _ = e.with(c)
	}
	e.Quarantined = e.Quarantined || other.Quarantined
	if other.Expires.After(e.Expires) {
		e.Expires = other.Expires
	}
	s.put(now, e)
}

// RecordSuccess forgives a request that ran without harm, and returns the entry
// that others have to learn, if there was blame. A quarantine stays.
func (l *List) RecordSuccess(now time.Time, fp Fingerprint) (Entry, bool) {
	s := l.shard(fp)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.get(now, fp)
	if e.Quarantined || !e.Suspected() {
		return e, false
	}
	for _, c := range e.Crashes {
		e, _ = e.with(Crash{c.CrashID, true})
	}
	s.put(now, e)
	return e, true
}

// Quarantined reports whether a request is to be refused, and until when.
func (l *List) Quarantined(now time.Time, fp Fingerprint) (time.Duration, bool) {
	e, ok := l.lookup(now, fp)
	if !ok || !e.Quarantined {
		return 0, false
	}
	return e.Expires.Sub(now), true
}

// Suspected reports whether a request was in flight in a crash and has not run
// without harm since.
func (l *List) Suspected(now time.Time, fp Fingerprint) bool {
	_, suspected := l.Suspicion(now, fp)
	return suspected
}

// Suspicion returns what is held against a request, if anything is.
func (l *List) Suspicion(now time.Time, fp Fingerprint) (Entry, bool) {
	e, ok := l.lookup(now, fp)
	if !ok || !e.Suspected() {
		return Entry{}, false
	}
	return e, true
}

func (l *List) lookup(now time.Time, fp Fingerprint) (Entry, bool) {
	s := l.shard(fp)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[fp]
	return e, ok && now.Before(e.Expires)
}

// Entries returns all entries that haven't expired.
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

// Sample returns at most n entries: quarantines first, and others as chance has
// it, so that each is told to others in the end.
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

// get returns the entry of a fingerprint, or a new one if it has expired.
func (s *listShard) get(now time.Time, fp Fingerprint) Entry {
	if e, ok := s.entries[fp]; ok && now.Before(e.Expires) {
		return e
	}
	return Entry{Fingerprint: fp}
}

func (s *listShard) put(now time.Time, e Entry) {
	if s.entries == nil {
		s.entries = make(map[Fingerprint]Entry)
	}
	if len(s.entries) >= maxEntries/listShards {
		s.evict(now)
	}
	s.entries[e.Fingerprint] = e
}

// evict drops expired entries, and mere suspicions if that isn't enough.
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
