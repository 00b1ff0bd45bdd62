package wharfquarantine

import "sync"

// maxSafe bounds the fingerprints that a SafeSet remembers.
const maxSafe = 32_768

// SafeSet remembers requests that ran without crashing their target. Those not
// seen for long give way to others. The zero SafeSet is empty.
type SafeSet struct {
	shards [listShards]safeShard
}

// safeShard keeps two generations; the older one is dropped when the newer
// one is full.
type safeShard struct {
	mu         sync.Mutex
	young, old map[Fingerprint]struct{}
}

func (h *SafeSet) shard(fp Fingerprint) *safeShard {
	return &h.shards[uint64(fp)%listShards]
}

// Add remembers a fingerprint.
func (h *SafeSet) Add(fp Fingerprint) {
	s := h.shard(fp)
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

// Remove forgets a fingerprint.
func (h *SafeSet) Remove(fp Fingerprint) {
	s := h.shard(fp)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.young, fp)
	delete(s.old, fp)
}

// Has reports whether a fingerprint is remembered.
func (h *SafeSet) Has(fp Fingerprint) bool {
	s := h.shard(fp)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, young := s.young[fp]
	_, old := s.old[fp]
	return young || old
}
