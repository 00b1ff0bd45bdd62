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
	// readLimit is the number of records in one read.
	readLimit = 512
	// retryWait is the pause after a read that failed.
	retryWait = 500 * time.Millisecond
	// roleInterval is how often a node that doesn't read looks at its role.
	roleInterval = 500 * time.Millisecond
	// staleAfter is how long a node waits for a confirmation of its state
	// before it reads the log itself, besides a share of the size of its
	// failure domain that keeps the nodes from reading all at once.
	staleAfter = 5 * time.Second
	// staleShare is that share, for each node of the failure domain.
	staleShare = time.Second
)

// follower reads the platform's log when that is this node's role.
type follower struct {
	mesh   *Agent
	rng    *rand.Rand
	failed bool
	// version and reader are the role for a version of the view.
	version uint64
	reader  bool
	// pending holds records behind a gap, until a snapshot bridges it.
	pending []wharfstream.Record
	from    uint64
}

func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.due() {
			if !wharftimer.Sleep(ctx, roleInterval) {
				return
			}
			continue
		}
		if f.read(ctx) != nil && !wharftimer.Sleep(ctx, retryWait) {
			return
		}
	}
}

// due reports whether this node should read now.
func (f *follower) due() bool {
	if f.isReader() {
		return true
	}
	if time.Since(f.mesh.View.ConfirmedAt()) < staleAfter {
		return false
	}
	size := f.mesh.View.KnownNodes()
	// Of n nodes that are all stale, about one reads in each interval.
	chance := float64(roleInterval) / (float64(staleShare) * float64(max(size, 1)))
	return f.rng.Float64() < chance
}

// isReader reports whether the node is among the first of its failure domain
// in the order of a hash. A wrong answer is harmless: too many readers cost a
// little, and none is noticed by the age of the state.
func (f *follower) isReader() bool {
	v := f.mesh.View
	if version := v.Version(); version != f.version {
		f.version = version
		f.reader = slices.Contains(f.mesh.readers(), v.Node())
	}
	return f.reader
}

// readers returns the nodes that read the log for this failure domain.
func (m *Agent) readers() []string {
	var first []string
	domain := m.View.Locality().FailureDomain
	m.View.Members(func(t *wharfmember.Table) {
		for _, node := range t.InDomain(domain) {
			member, _ := t.Get(node)
			if member.State != wharfmember.Alive {
				continue
			}
			i, _ := slices.BinarySearchFunc(first, node, compareReaders)
			if i < m.Readers {
				first = slices.Insert(first, i, node)
				first = first[:min(len(first), m.Readers)]
			}
		}
	})
	return first
}

func compareReaders(a, b string) int {
	return cmp.Compare(xxhash.Sum64String("reader\x00"+a), xxhash.Sum64String("reader\x00"+b))
}

func (f *follower) read(ctx context.Context) error {
	v := f.mesh.View
	asked := time.Now()
	from := max(v.State().Offset()+1, f.from)
	batch, err := f.mesh.Platform.Read(ctx, wharfstate.Stream, from, readLimit, f.mesh.PollWait)
	if errors.Is(err, wharfstream.ErrExpired) {
		f.mesh.Log.Emit(wharfevents.RecordsExpired,
			wharfevents.Field{Name: "from", Value: from},
			wharfevents.Field{Name: "oldest", Value: batch.Oldest})
		f.from, f.pending = batch.Oldest, nil
		return err
	}
	f.report(ctx, err)
	if err != nil {
		return err
	}
	f.applyBatch(batch)
	if v.State().Offset()+1 >= batch.Next {
		v.Confirm(batch.Next-1, asked)
	}
	return nil
}

// applyBatch folds the records of a batch. Behind a gap they are collected until one
// of them is a snapshot.
func (f *follower) applyBatch(batch wharfstream.Batch) {
	records := batch.Records
	if f.from > f.mesh.View.State().Offset()+1 {
		f.pending = append(f.pending, records...)
		records = f.pending
		f.from += uint64(len(batch.Records))
	}
	f.mesh.applyRecords(records)
	if f.mesh.View.State().Offset()+1 >= f.from {
		f.from, f.pending = 0, nil
	}
}

// report logs when the log goes away and comes back.
func (f *follower) report(ctx context.Context, err error) {
	if ctx.Err() != nil || (err != nil) == f.failed {
		return
	}
	f.failed = err != nil
	if f.failed {
		f.mesh.Log.Emit(wharfevents.LogUnavailable, wharfevents.ErrorField(err))
		return
	}
	f.mesh.Log.Emit(wharfevents.LogAvailable)
}
