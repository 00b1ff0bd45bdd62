package wharfcluster

import (
	"context"
	"slices"
	"time"

	"ragwortwharf.dev/wharf/wharfstate"
	"ragwortwharf.dev/wharf/wharftimer"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

// rankDelay is the share of the interval by which the second reader waits
// longer than the first, so that mostly one of them writes.
const rankDelay = 0.25

// snapshots writes the state to the log before the records that it came from
// expire there. All readers do; the first one that is due spares the others.
type snapshots struct {
	mesh *Agent
	// seen is the last snapshot in the log, and when it was noticed.
	seen   uint64
	seenAt time.Time
}

func (s *snapshots) run(ctx context.Context) {
	s.seenAt = time.Now()
	for wharftimer.Sleep(ctx, s.mesh.SnapshotInterval/10) {
		if s.due() {
			s.write(ctx)
		}
	}
}

func (s *snapshots) due() bool {
	v := s.mesh.View
	if last := v.State().SnapshotOffset(); last != s.seen {
		s.seen, s.seenAt = last, time.Now()
	}
	if v.State().Offset() <= s.seen {
		return false
	}
	rank := slices.Index(s.mesh.readers(), v.Node())
	if rank < 0 {
		return false
	}
	patience := float64(s.mesh.SnapshotInterval) * (1 + rankDelay*float64(rank))
	return time.Since(s.seenAt) >= time.Duration(patience)
}

func (s *snapshots) write(ctx context.Context) {
	state := s.mesh.View.State()
	data, err := state.Save()
	if err != nil {
		return
	}
	record, err := wharfstate.Envelope{Snapshot: data}.Encode()
	if err != nil {
		return
	}
	s.seenAt = time.Now()
	_, err = s.mesh.Platform.Append(ctx, wharfstate.Stream, record)
	s.mesh.Metrics.LogAppend(wharfstate.Stream, resultName(err))
	if err != nil {
		s.mesh.Log.Emit(wharfevents.AppendUncertain, wharfevents.ErrorField(err))
		return
	}
	s.mesh.Log.Emit(wharfevents.SnapshotWritten,
		wharfevents.Field{Name: "offset", Value: state.Offset()},
		wharfevents.Field{Name: "bytes", Value: len(data)})
}
