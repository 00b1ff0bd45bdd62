package wharfquarantine

import "sync"

// maxHarmless bounds the fingerprints that a Harmless remembers.
const maxHarmless = 32_768

// Harmless remembers requests that ran without crashing their target. Those not
// seen for long give way to others. The zero Harmless is empty.
type Harmless struct {
	shards [listShards]harmlessShard
}

// harmlessShard keeps two generations; the older one is dropped when the newer
// one is full.
type harmlessShard struct {
	mu         sync.Mutex
	young, old map[Fingerprint]struct{}
}

func (h *Harmless) shard(fp Fingerprint) *harmlessShard {
	return &h.shards[uint64(fp)%listShards]
}

// Add remembers a fingerprint.
func (h *Harmless) Add(fp Fingerprint) {
	s := h.shard(fp)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.young[fp]; ok {
		return
	}
	if s.young == nil || len(s.young) >= maxHarmless/listShards/2 {
		s.old, s.young = s.young, make(map[Fingerprint]struct{})
	}
	s.young[fp] = struct{}{}
}

// Remove forgets a fingerprint.
func (h *Harmless) Remove(fp Fingerprint) {
	s := h.shard(fp)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.young, fp)
	delete(s.old, fp)
}

// Has reports whether a fingerprint is remembered.
func (h *Harmless) Has(fp Fingerprint) bool {
	s := h.shard(fp)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, young := s.young[fp]
	_, old := s.old[fp]
	return young || old
}
