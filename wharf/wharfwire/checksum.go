package wharfwire

import "github.com/cespare/xxhash/v2"

// Permille is the factor between a share and its value in a message.
const Permille = 1000

// ChunkSize is the largest part of a body in one frame, in bytes.
const ChunkSize = 32 << 10

// BodySum computes the length and the xxHash checksum of a body while the body
// is streamed. The zero BodySum is that of an empty body. It is not safe for
// concurrent use.
type BodySum struct {
	length uint64
	// digest is valid once length is above zero.
	digest xxhash.Digest
}

// Add adds the next part of the body.
func (s *BodySum) Add(p []byte) {
	if len(p) == 0 {
		return
	}
	if s.length == 0 {
		s.digest.Reset()
	}
	s.length += uint64(len(p))
	_, _ = s.digest.Write(p)
}

// End returns the length and checksum of the parts added so far, as the end
// message of the body.
func (s *BodySum) End() *BodyEnd {
	return &BodyEnd{Length: s.length, Xxhash: s.sum()}
}

// Matches reports whether the length and checksum in the end message equal
// those of the body. It returns false for nil.
func (s *BodySum) Matches(end *BodyEnd) bool {
	return end != nil && s.length == end.GetLength() && s.sum() == end.GetXxhash()
}

func (s *BodySum) sum() uint64 {
	if s.length == 0 {
		return xxhash.Sum64(nil)
	}
	return s.digest.Sum64()
}
