package wharfquarantine

import (
	"testing"

	"github.com/matryer/is"
)

// TestSafeSetIsBounded checks that the set drops old fingerprints, but keeps one
// that is added again and again.
func TestSafeSetIsBounded(t *testing.T) {
	is := is.New(t)
	var set KnownSafeSet
	is.True(!set.Has(7))
	for i := range Fingerprint(5 * maxSafe) {
		set.Add(7)
		set.Add(1000 + i)
	}
	is.True(set.Has(7))
	is.True(set.Has(1000 + 5*maxSafe - 1))
	is.True(!set.Has(1000))
	size := 0
	for i := range set.shards {
		size += len(set.shards[i].young) + len(set.shards[i].old)
	}
	is.True(size <= maxSafe)
	set.Remove(7)
	is.True(!set.Has(7))
}

func BenchmarkSafeSet(b *testing.B) {
	var set KnownSafeSet
	b.ReportAllocs()
	for b.Loop() {
		set.Add(7)
		set.Has(7)
	}
}
