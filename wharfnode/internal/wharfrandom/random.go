package wharfrandom

import "math/rand/v2"

// New returns a new, randomly seeded generator. It isn't safe for concurrent use, so
// each goroutine needs its own.
func New() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
