package wharfwire

import "github.com/cespare/xxhash/v2"

// ChunkSize is the largest piece of a body in one frame, in bytes.
const ChunkSize = 32 << 10

// BodySum measures a body while it passes. The zero BodySum is an empty body.
type BodySum struct {
	length uint64
	digest *xxhash.Digest
}

// Add takes the next piece of the body.
func (s *BodySum) Add(p []byte) {
	if s.digest == nil {
		s.digest = xxhash.New()
	}
	s.length += uint64(len(p))
	_, _ = s.digest.Write(p)
}

// End returns the closing frame of the body.
func (s *BodySum) End() *BodyEnd {
	if s.digest == nil {
		return &BodyEnd{Xxhash: xxhash.Sum64(nil)}
	}
	return &BodyEnd{Length: s.length, Xxhash: s.digest.Sum64()}
}

// Matches reports whether the closing frame belongs to the body that passed.
func (s *BodySum) Matches(end *BodyEnd) bool {
	own := s.End()
	return end != nil && own.GetLength() == end.GetLength() && own.GetXxhash() == end.GetXxhash()
}
