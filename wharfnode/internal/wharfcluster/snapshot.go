package wharfcluster

import (
	"context"
	"slices"
	"time"

	"ragwortwharf.dev/wharf/wharfstate"
	"ragwortwharf.dev/wharf/wharftimer"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

// readerDelayShare is the share of the snapshot interval by which each reader
// waits longer than the reader before it, so that usually only one of them writes
// a snapshot.
const readerDelayShare = 0.25

// snapshots appends snapshots of the state to the log before the records that the
// state was built from expire there. Every reader runs it. After the first reader
// has written a snapshot, the other readers needn't write one.
type snapshots struct {
	agent *Agent
	// seen is the offset of the last snapshot in the log. seenAt is the latest
	// of three times: when run started, when this node noticed that snapshot,
	// and when this node last tried to append a snapshot.
	seen   uint64
	seenAt time.Time
}

func (s *snapshots) run(ctx context.Context) {
	s.seenAt = time.Now()
	for wharftimer.Sleep(ctx, s.agent.SnapshotInterval/10) {
		if s.due() {
			s.write(ctx)
		}
	}
}

func (s *snapshots) due() bool {
	v := s.agent.View
	if last := v.State().SnapshotOffset(); last != s.seen {
		s.seen, s.seenAt = last, time.Now()
	}
	if v.State().Offset() <= s.seen {
		return false
	}
	position := slices.Index(s.agent.ReaderNodes(), v.Node())
	if position < 0 {
		return false
	}
	wait := float64(s.agent.SnapshotInterval) * (1 + readerDelayShare*float64(position))
	return time.Since(s.seenAt) >= time.Duration(wait)
}

func (s *snapshots) write(ctx context.Context) {
	state := s.agent.View.State()
	data, err := state.Save()
	if err != nil {
		return
	}
	record, err := wharfstate.Envelope{Snapshot: data}.Encode()
	if err != nil {
		return
	}
	s.seenAt = time.Now()
	_, err = s.agent.LogClient.Append(ctx, wharfstate.StateStream, record)
	s.agent.Metrics.LogAppend(wharfstate.StateStream, resultName(err))
	if err != nil {
		s.agent.Log.Emit(wharfevents.AppendUncertain, wharfevents.ErrorField(err))
		return
	}
	s.agent.Log.Emit(wharfevents.SnapshotWritten,
		wharfevents.Field{Name: "offset", Value: state.Offset()},
		wharfevents.Field{Name: "bytes", Value: len(data)})
}
