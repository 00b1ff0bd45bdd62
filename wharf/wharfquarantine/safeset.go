package wharfquarantine

import "sync"

// maxSafe bounds the number of fingerprints in a KnownSafeSet.
const maxSafe = 32_768

// KnownSafeSet holds the fingerprints of requests that completed without a crash. It is
// bounded: fingerprints that were not added again for long are dropped. The zero
// KnownSafeSet is empty and ready to use. It is safe for concurrent use.
type KnownSafeSet struct {
	shards [listShards]safeShard
}

// safeShard keeps the fingerprints in two generations. When the young one is full,
// the old one is dropped and the young one takes its place.
type safeShard struct {
	mu         sync.Mutex
	young, old map[Fingerprint]struct{}
}

func (set *KnownSafeSet) shard(fp Fingerprint) *safeShard {
	return &set.shards[uint64(fp)%listShards]
}

// Add adds a fingerprint.
func (set *KnownSafeSet) Add(fp Fingerprint) {
	s := set.shard(fp)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.young[fp]; ok {
		return
	}
	if s.young == nil || len(s.young) >= maxSafe/listShards/2 {
		s.old, s.young = s.young, make(map[Fingerprint]struct{})
	}
	s.young[fp] = struct{}{}
}

// Remove removes a fingerprint, if it is in the set.
func (set *KnownSafeSet) Remove(fp Fingerprint) {
	s := set.shard(fp)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.young, fp)
	delete(s.old, fp)
}

// Has reports whether a fingerprint is in the set.
func (set *KnownSafeSet) Has(fp Fingerprint) bool {
	s := set.shard(fp)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, young := s.young[fp]
	_, old := s.old[fp]
	return young || old
}
