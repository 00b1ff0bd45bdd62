package wharfmemory

import (
	"runtime/debug"
	"testing"

	"github.com/matryer/is"
)

// TestSetLimit checks that the limit leaves room for what the runtime doesn't count, and
// that a process without a limit keeps its setting.
func TestSetLimit(t *testing.T) {
	before := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(before)
	tests := []struct {
		name             string
		available, limit int64
	}{
		{"small VM", 184_000_000, 128_800_000},
		{"unlimited", 0, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			debug.SetMemoryLimit(before)
			is.Equal(SetLimit(tc.available, 70), tc.limit)
			want := tc.limit
			if want == 0 {
				want = before
			}
			is.Equal(debug.SetMemoryLimit(-1), want)
		})
	}
}
