package wharfrandom

import "math/rand/v2"

// New returns a source of its own, because one isn't safe for concurrent use.
func New() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
