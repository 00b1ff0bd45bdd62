package wharfstate

import (
	"testing"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharfroute"
	"ragwortwharf.dev/wharf/wharfstream"
)

func routesRecord(t *testing.T, offset, version uint64) wharfstream.Record {
	t.Helper()
	data, err := Envelope{Routes: &wharfroute.Set{Version: version}}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return wharfstream.Record{Offset: offset, Data: data}
}

// TestRoutesVersionNeverDecreases applies sets of routes with rising and falling
// versions, with gaps in the log and with repeated records. An older set that
// arrives late must not replace a newer one.
func TestRoutesVersionNeverDecreases(t *testing.T) {
	tests := []struct {
		name            string
		offsets         []uint64
		versions        []uint64
		offset, version uint64
	}{
		{"rising", []uint64{1, 2}, []uint64{3, 8}, 2, 8},
		{"lower version", []uint64{1, 2}, []uint64{8, 3}, 2, 8},
		{"gap at the start", []uint64{9}, []uint64{4}, 9, 4},
		{"gap between", []uint64{1, 7}, []uint64{4, 5}, 7, 5},
		{"repeat", []uint64{1, 1}, []uint64{4, 9}, 1, 4},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var all []wharfstream.Record
			for i := range tc.offsets {
				all = append(all, routesRecord(t, tc.offsets[i], tc.versions[i]))
			}
			together := (*State)(nil).WithRecords(all)
			is.Equal(together.Routes().Version(), tc.version)
			is.Equal(together.Offset(), tc.offset)
			var s *State
			for _, r := range all {
				s = s.WithRecords([]wharfstream.Record{r})
			}
			is.Equal(s.Routes().Version(), tc.version)
			data, err := s.Save()
			is.NoErr(err)
			loaded, err := Restore(data)
			is.NoErr(err)
			is.Equal(loaded.Routes().Version(), tc.version)
		})
	}
}

// TestRoutesDoNotSkipMissingChanges guards against losing records in a gap. A
// state that holds configuration changes must stop before the gap, because the
// missing records may hold further changes.
func TestRoutesDoNotSkipMissingChanges(t *testing.T) {
	is := is.New(t)
	s := &State{offset: 2}
	s.config = s.config.WithChanges(nil)
	got := s.WithRecords([]wharfstream.Record{routesRecord(t, 9, 4)})
	is.Equal(got.Offset(), uint64(2))
}

// TestRestoreKeepsNewerRoutes guards against routes in force that go back to those of an
// older copy of the log: a node that started after the restore of the log has read only the
// copy, but at an offset of a later epoch.
func TestRestoreKeepsNewerRoutes(t *testing.T) {
	later := wharfstream.OffsetIn(1, 1)
	tests := []struct {
		name                   string
		own, snapshot, version uint64
	}{
		{"older", 60, 55, 60},
		{"newer", 60, 61, 61},
		{"first", 0, 55, 55},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var own *State
			if tc.own > 0 {
				own = own.WithRecords([]wharfstream.Record{routesRecord(t, 9, tc.own)})
			}
			var copied *State
			copied = copied.WithRecords([]wharfstream.Record{routesRecord(t, later, tc.snapshot)})
			restored := copied.WithNewerRoutes(own)
			is.Equal(restored.Routes().Version(), tc.version)
			is.Equal(restored.Offset(), later)
		})
	}
}

// TestLaterRoutesOfSameVersionHold checks that of two different sets of routes with one
// version the later one in the log holds: after a restore of the log the operator may write
// another set under a version that was lost.
func TestLaterRoutesOfSameVersionHold(t *testing.T) {
	is := is.New(t)
	second, err := Envelope{Routes: &wharfroute.Set{Version: 7, Routes: []wharfroute.Route{{Name: "second"}}}}.Encode()
	is.NoErr(err)
	var s *State
	s = s.WithRecords([]wharfstream.Record{routesRecord(t, 9, 7)})
	s = s.WithRecords([]wharfstream.Record{{Offset: wharfstream.OffsetIn(1, 8), Data: second}})
	is.Equal(len(s.Routes().Set().Routes), 1)
}
