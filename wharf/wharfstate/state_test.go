package wharfstate

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharf/wharfidempotency"
	"ragwortwharf.dev/wharf/wharfstream"

	_ "ragwortwharf.dev/wharf/internal/wharfseed"
)

func encode(t interface{ Fatal(args ...any) }, e Envelope) []byte {
	data, err := e.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// sampleLog returns a log of n records: changes, ownership records, snapshots
// and malformed records. Each snapshot holds the state as of a few records
// before it.
func sampleLog(t interface{ Fatal(args ...any) }, n int) []wharfstream.Record {
	var records []wharfstream.Record
	for i := range n {
		var e Envelope
		switch i % 5 {
		case 0, 1:
			doc := &wharfconfig.Document{Kind: wharfconfig.KindClass, Name: fmt.Sprint("c", i), Rank: i % wharfconfig.MaxRank}
			e.Change = &wharfconfig.Change{ID: fmt.Sprint(i), Edits: []wharfconfig.Edit{{Key: doc.Key(), Document: doc}}}
		case 2:
			e.Ownership = &wharfidempotency.OwnershipRecord{Kind: wharfidempotency.Announce, Node: fmt.Sprint("n", i%7), Incarnation: uint64(i), Services: []string{"s"}}
		case 3:
			state := (*State)(nil).WithRecords(records[:max(len(records)-2, 0)])
			data, err := state.Save()
			if err != nil {
				t.Fatal(err)
			}
			e.Snapshot = data
		}
		data := encode(t, e)
		if i%5 == 4 {
			data = []byte("not json")
		}
		records = append(records, wharfstream.Record{Offset: uint64(i + 1), Time: time.Unix(int64(i), 0), Data: data})
	}
	return records
}

// TestAnyRangesOfLogGiveSameState applies random ranges of the log, which repeat,
// overlap and leave gaps. The offset must never decrease, and the state must
// equal one that applied the log from the start.
func TestAnyRangesOfLogGiveSameState(t *testing.T) {
	const n = 40
	log := sampleLog(t, n)
	rapid.Check(t, func(t *rapid.T) {
		var s *State
		for s.Offset() < n {
			before := s.Offset()
			from := rapid.IntRange(0, n-1).Draw(t, "from")
			to := rapid.IntRange(from, n).Draw(t, "to")
			s = s.WithRecords(log[from:to])
			if s.Offset() < before {
				t.Fatalf("offset decreased from %d to %d", before, s.Offset())
			}
			want := (*State)(nil).WithRecords(log[:s.Offset()])
			if len(want.Config().Objects()) != len(s.Config().Objects()) ||
				fmt.Sprint(want.Ownership().Owners("s")) != fmt.Sprint(s.Ownership().Owners("s")) {
				t.Fatalf("state differs from the expected one at offset %d", s.Offset())
			}
		}
	})
}

func TestGapWithoutSnapshotStops(t *testing.T) {
	is := is.New(t)
	log := sampleLog(t, 10)
	s := (*State)(nil).WithRecords(log[:1])
	is.Equal(s.WithRecords(log[5:8]).Offset(), uint64(1))
	is.Equal(s.WithRecords(log[5:9]).Offset(), uint64(9)) // record 9 holds a snapshot of the state at offset 6
}

func TestBrokenSnapshotIsRefused(t *testing.T) {
	is := is.New(t)
	for _, data := range [][]byte{nil, []byte("x"), {0x1f, 0x8b, 8, 0}} {
		_, err := Restore(data)
		is.True(err != nil)
	}
}
