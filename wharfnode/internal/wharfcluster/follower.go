package wharfcluster

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharfstate"
	"ragwortwharf.dev/wharf/wharfstream"
	"ragwortwharf.dev/wharf/wharftimer"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

const (
	// readLimit bounds the number of records in one read.
	readLimit = 512
	// retryInterval is the least time from the start of a read to the next read, if the read
	// failed or responded early with nothing that could be applied.
	retryInterval = 500 * time.Millisecond
	// roleInterval is how often a node that doesn't read the log checks whether
	// it should.
	roleInterval = 500 * time.Millisecond
	// settleTime is how long a node that has joined waits before it decides
	// whether it is a reader. Gossip has spread most entries by then, and the state
	// if another node has it.
	settleTime = 100 * time.Millisecond
	// compareTime bounds how long a node that has started waits for the state of another one
	// before it relies on a log that was restored. Nodes whose directory entries were lost write
	// them again within two seconds, and a few gossip rounds follow.
	compareTime = 5 * time.Second
	// minInterval is the least time between two such checks.
	minInterval = time.Millisecond
	// emptyInterval and emptyReadRate are the same as roleInterval and Agent.ReadRate for
	// nodes without any state. Such nodes can't serve, and after a restart of all nodes none
	// gets the state from another.
	emptyInterval = 50 * time.Millisecond
	emptyReadRate = 40
	// logSource is the source of records, in log lines, that this node read itself.
	logSource = "log"
)

// follower reads the platform's log if this node is a reader or if its state is
// stale.
type follower struct {
	agent *Agent
	rng   *rand.Rand
	// failedSince is when the first of the reads that failed in a row began. It is zero
	// if the last read succeeded.
	failedSince time.Time
	// readers are the readers of this failure domain, and version is the version of the
	// view at which they were computed.
	version uint64
	readers []string
	// readAt is when this node reads because its state is stale. It is zero if the state
	// isn't, and after a read that succeeded.
	readAt time.Time
	// joinedAt is when this node tried to join the others.
	joinedAt time.Time
	// askAt is the earliest time at which this node asks a reader again, after one that
	// couldn't confirm the state.
	askAt time.Time
	// pending holds the records read after a gap, that is, after records that
	// expired in the log before this node read them. They are kept until one of
	// them is a snapshot that covers the gap. Until then, from is the offset of
	// the next read; without a gap it is zero.
	pending []wharfstream.Record
	from    uint64
}

func (f *follower) run(ctx context.Context) {
	if !f.settle(ctx) {
		return
	}
	for ctx.Err() == nil {
		switch {
		case f.due():
			f.poll(ctx)
		case f.shouldAsk():
			f.ask(ctx)
		default:
			wharftimer.Sleep(ctx, f.interval())
		}
	}
}

// poll reads once, and waits before the next read if this one brought nothing.
func (f *follower) poll(ctx context.Context) {
	requestedAt, position, wait := time.Now(), f.position(), f.pollWait()
	confirmedAt := f.agent.View.ConfirmedAt()
	err := f.read(ctx, requestedAt, wait)
	waited := time.Since(requestedAt) >= wait && f.agent.View.ConfirmedAt().After(confirmedAt)
	if err == nil && (waited || f.position() != position) {
		return
	}
	if !f.isReader() && !f.empty() {
		f.readAt = requestedAt.Add(f.agent.MaxStateAge + f.staleWait())
	}
	wharftimer.Sleep(ctx, time.Until(requestedAt.Add(retryInterval)))
}

// position returns the offset at which the next read begins.
func (f *follower) position() uint64 {
	return max(f.agent.View.State().Offset()+1, f.from)
}

// settle waits until the members are known. A node that found no other node reads
// at once. It returns false if the context ends first.
func (f *follower) settle(ctx context.Context) bool {
	select {
	case <-f.agent.joined:
	case <-ctx.Done():
		return false
	}
	f.joinedAt = time.Now()
	return f.agent.View.KnownNodes() == 1 || wharftimer.Sleep(ctx, settleTime)
}

// due reports whether this node should read now.
func (f *follower) due() bool {
	if f.isReader() {
		return true
	}
	now := time.Now()
	if now.Sub(f.confirmedAt()) < f.agent.MaxStateAge {
		f.readAt = time.Time{}
		return false
	}
	if f.readAt.IsZero() {
		f.readAt = now.Add(f.staleWait())
	}
	if now.Before(f.readAt) {
		return false
	}
	f.readAt = time.Time{}
	return true
}

// staleWait returns how long a node waits until it reads in place of the readers. Nodes that
// become stale together begin about Agent.ReadRate reads a second, and each of them reads
// within the time that this takes for all known nodes.
func (f *follower) staleWait() time.Duration {
	rate := f.agent.ReadRate
	if f.empty() {
		rate = emptyReadRate
	}
	longest := time.Second * time.Duration(max(f.agent.View.KnownNodes(), 1)) / time.Duration(rate)
	return time.Duration(f.rng.Int64N(int64(max(longest, 1))))
}

// askAge is the age of the last confirmation at which a node asks a reader. A reader that
// reads the log has a more recent one, because its reads end after PollWait.
func (f *follower) askAge() time.Duration {
	return (f.agent.PollWait + f.agent.MaxStateAge) / 2
}

// shouldAsk reports whether this node should ask a reader now, because gossip hasn't
// confirmed its state.
func (f *follower) shouldAsk() bool {
	now := time.Now()
	return !f.empty() && now.Sub(f.confirmedAt()) >= f.askAge() && !now.Before(f.askAt)
}

// ask gets the state, or its confirmation, from a reader of this failure domain. If the
// reader doesn't respond, this node reads the log itself once its state is stale.
func (f *follower) ask(ctx context.Context) {
	now, v := time.Now(), f.agent.View
	confirmedAt := f.confirmedAt()
	defer func() {
		if !f.confirmedAt().After(confirmedAt) {
			f.askAt = now.Add(f.agent.PollWait)
		}
	}()
	remaining := f.agent.MaxStateAge - now.Sub(confirmedAt)
	if f.isReader() || remaining <= 0 || len(f.readers) == 0 {
		return
	}
	reader, ok := v.Member(f.readers[f.rng.IntN(len(f.readers))])
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	_ = f.agent.exchange(ctx, reader, v.State().Offset())
}

// empty reports whether this node has no state yet.
func (f *follower) empty() bool {
	return f.agent.View.State().Offset() == 0
}

// confirmedAt returns the time of the last confirmation of the state. Where requests need keys, it
// is one that this node has asked for.
func (f *follower) confirmedAt() time.Time {
	v := f.agent.View
	confirmedAt := v.ConfirmedAt()
	if !v.State().Routes().KeysRequired() || confirmedAt.IsZero() {
		return confirmedAt
	}
	if asked := time.Now().Add(-v.KeyAge()); asked.Before(confirmedAt) {
		return asked
	}
	return confirmedAt
}

// interval returns the time until the next check whether this node should read or ask.
func (f *follower) interval() time.Duration {
	if f.empty() {
		return emptyInterval
	}
	confirmedAt := f.confirmedAt()
	next := later(confirmedAt.Add(f.agent.MaxStateAge), f.readAt)
	if ask := later(confirmedAt.Add(f.askAge()), f.askAt); ask.Before(next) {
		next = ask
	}
	return min(max(time.Until(next), minInterval), roleInterval)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// isReader reports whether this node is a reader of its failure domain. Nodes may
// disagree on the readers without harm: too many readers cost a few reads, and
// without any reader the state becomes stale, so that other nodes read the log.
func (f *follower) isReader() bool {
	v := f.agent.View
	if version := v.Version(); version != f.version {
		f.version = version
		f.readers = f.agent.ReaderNodes()
	}
	return slices.Contains(f.readers, v.Node())
}

// ReaderNodes returns the nodes that read the log for this failure domain: the first
// alive nodes in the order of a hash.
func (a *Agent) ReaderNodes() []string {
	var first []string
	domain := a.View.Locality().FailureDomain
	a.View.Members(func(t *wharfmember.Table) {
		for _, node := range t.InDomain(domain) {
			member, _ := t.Get(node)
			if member.State != wharfmember.Alive {
				continue
			}
			i, _ := slices.BinarySearchFunc(first, node, compareReaders)
			if i < a.Readers {
				first = slices.Insert(first, i, node)
				first = first[:min(len(first), a.Readers)]
			}
		}
	})
	return first
}

func compareReaders(a, b string) int {
	return cmp.Compare(xxhash.Sum64String("reader\x00"+a), xxhash.Sum64String("reader\x00"+b))
}

// pollWait returns how long the next read waits for records. It ends when the last
// confirmation is as old as PollWait, because a read that returns records confirms only the
// time at which it began. Keys are confirmed only for that time by any read, so that reads that
// confirm them wait half as long: before the end of one, the last confirmation is that of the
// start of the read before. After a failure the read doesn't wait: a read that was sent to an
// unresponsive log ends only after its wait, and delays the next read although the log may be
// available again.
func (f *follower) pollWait() time.Duration {
	if !f.failedSince.IsZero() {
		return 0
	}
	v := f.agent.View
	longest := f.agent.PollWait
	if v.State().Routes().KeysRequired() {
		longest /= 2
	}
	return max(longest-time.Since(v.ConfirmedAt()), 0)
}

func (f *follower) read(ctx context.Context, requestedAt time.Time, wait time.Duration) error {
	v, from, lease := f.agent.View, f.position(), f.agent.View.LeaseNow()
	batch, err := f.agent.LogClient.Read(ctx, wharfstate.StateStream, from, readLimit, wait)
	if errors.Is(err, wharfstream.ErrExpired) {
		f.agent.Log.Emit(wharfevents.RecordsExpired,
			wharfevents.Field{Name: "from", Value: from},
			wharfevents.Field{Name: "oldest", Value: batch.Oldest})
		f.from, f.pending = batch.Oldest, nil
		return err
	}
	f.logAvailability(ctx, from, requestedAt, err)
	if err != nil {
		return err
	}
	f.applyBatch(batch)
	if v.State().Offset()+1 >= batch.Next {
		v.Confirm(batch.Next-1, confirmedAt(requestedAt, wait, batch))
		f.confirmKeys(batch.Next-1, lease)
	}
	return nil
}

// confirmKeys records that the keys in the state were in force at a time, according to the log. If
// the log was restored from an older copy, it may have lost the withdrawal of a key, of which other
// nodes know. So this node waits for the state of one of them, up to compareTime.
func (f *follower) confirmKeys(offset uint64, at time.Time) {
	v := f.agent.View
	restored := wharfstream.Epoch(v.State().Offset()) > 0
	if restored && !f.agent.compared.Load() && time.Since(f.joinedAt) < compareTime {
		return
	}
	v.ConfirmKeys(offset, at)
}

// confirmedAt returns a time at which the log still ended where the batch ends. The
// log responds without records only after it has waited for them.
func confirmedAt(requestedAt time.Time, wait time.Duration, batch wharfstream.Batch) time.Time {
	waited := requestedAt.Add(wait)
	if len(batch.Records) > 0 || time.Now().Before(waited) {
		return requestedAt
	}
	return waited
}

// applyBatch applies the records of a batch. After a gap it collects the records
// until one of them is a snapshot that covers the gap.
func (f *follower) applyBatch(batch wharfstream.Batch) {
	records := batch.Records
	if f.from > f.agent.View.State().Offset()+1 {
		f.pending = append(f.pending, records...)
		records = f.pending
		f.from += uint64(len(batch.Records))
	}
	f.agent.applyRecords(logSource, records)
	if f.agent.View.State().Offset()+1 >= f.from {
		f.from, f.pending = 0, nil
	}
}

// logAvailability counts a read that began at requestedAt. It emits an event when the
// platform's log becomes unavailable and when it becomes available again.
func (f *follower) logAvailability(ctx context.Context, from uint64, requestedAt time.Time, err error) {
	if ctx.Err() != nil {
		return
	}
	f.agent.Metrics.LogRead(err == nil)
	failed := !f.failedSince.IsZero()
	switch {
	case err != nil && !failed:
		f.failedSince = requestedAt
		f.agent.Log.Emit(wharfevents.LogUnavailable,
			wharfevents.Field{Name: "from", Value: from},
			wharfevents.Field{Name: "elapsed-ms", Value: time.Since(requestedAt).Milliseconds()},
			wharfevents.ErrorField(err))
	case err == nil && failed:
		f.agent.Log.Emit(wharfevents.LogAvailable,
			wharfevents.Field{Name: "from", Value: from},
			wharfevents.Field{Name: "unavailable-ms", Value: time.Since(f.failedSince).Milliseconds()})
		f.failedSince = time.Time{}
	}
}
