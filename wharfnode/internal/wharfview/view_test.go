package wharfview

import (
	"bytes"
	"math"
	"testing"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharfroute"
	"ragwortwharf.dev/wharf/wharfstate"
	"ragwortwharf.dev/wharf/wharfstream"
)

// TestKeptRecordsAreBounded guards against a node that exceeds its memory after some hundred
// changes of a large configuration, because it keeps them all for its peers.
func TestKeptRecordsAreBounded(t *testing.T) {
	tests := []struct {
		name           string
		changes, bytes int
		// kept is the number of records that must be kept for peers.
		kept int
	}{
		{"small changes", 1000, 100, 1000},
		{"changes of the largest record of a log", 300, 256 << 10, 1},
		{"changes larger than what is kept", 3, 2 << 20, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			const bound = 1 << 20
			is := is.New(t)
			v := New(wharfmember.Member{Node: "n00", FailureDomain: "d"})
			for i := range tc.changes {
				data, err := wharfstate.Envelope{Routes: &wharfroute.Set{Version: uint64(i + 1)}}.Encode()
				is.NoErr(err)
				padding := bytes.Repeat([]byte(" "), max(tc.bytes-len(data), 0))
				v.Apply([]wharfstream.Record{{Offset: uint64(i + 1), Data: append(data, padding...)}})
			}
			records, _ := v.RecordsAfter(0, math.MaxInt)
			size := 0
			for _, r := range records {
				size += len(r.Data)
			}
			is.True(len(records) >= tc.kept)
			is.True(size <= max(bound, tc.bytes))
			is.Equal(records[len(records)-1].Offset, uint64(tc.changes))
			is.Equal(v.State().Routes().Version(), uint64(tc.changes))
		})
	}
}
