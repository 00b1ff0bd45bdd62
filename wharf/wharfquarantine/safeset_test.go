package wharfquarantine

import (
	"testing"

	"github.com/matryer/is"
)

func TestHarmlessIsBoundedAndKeepsWhatIsUsed(t *testing.T) {
	is := is.New(t)
	var h SafeSet
	is.True(!h.Has(7))
	for i := range Fingerprint(5 * maxSafe) {
		h.Add(7)
		h.Add(1000 + i)
	}
	is.True(h.Has(7))
	is.True(h.Has(1000 + 5*maxSafe - 1))
	is.True(!h.Has(1000))
	kept := 0
	for i := range h.shards {
		kept += len(h.shards[i].young) + len(h.shards[i].old)
	}
	is.True(kept <= maxSafe)
	h.Remove(7)
	is.True(!h.Has(7))
}

func BenchmarkHarmless(b *testing.B) {
	var h SafeSet
	b.ReportAllocs()
	for b.Loop() {
		h.Add(7)
		h.Has(7)
	}
}
