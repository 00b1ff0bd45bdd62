package wharfallocator

import (
	"context"
	"slices"
	"sync"
	"time"

	"ragwortwharf.dev/wharf/wharftimer"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

const (
	// recordTimeout bounds a call that reads or writes the record. Without it, a process that starts
	// again waits for as long as a lease is valid.
	recordTimeout = time.Second
	// recordPause is the pause after a failed write.
	recordPause = 500 * time.Millisecond
)

// record states which of the shards that this node holds in a generation of the group it allocates.
// While the generation is the same, no other node holds them. Only one process of a node runs at a
// time, because it listens on the address of the node.
type record struct {
	generation uint64
	shards     []int
}

func (r record) equal(other record) bool {
	return r.generation == other.generation && slices.Equal(r.shards, other.shards)
}

// recorder writes the record of this node when it changes.
type recorder struct {
	service *Service
	wake    chan struct{}

	mu   sync.Mutex
	next record
	// failed is true while the record can't be written.
	failed bool
}

// set changes the record.
func (r *recorder) set(next record) {
	r.mu.Lock()
	changed := !r.next.equal(next)
	r.next = next
	r.mu.Unlock()
	if !changed {
		return
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *recorder) run(ctx context.Context) {
	for {
		select {
		case <-r.wake:
		case <-ctx.Done():
			return
		}
		for !r.write(ctx) {
			if !wharftimer.Sleep(ctx, recordPause) {
				return
			}
		}
	}
}

// write writes the present record, and reports whether it succeeded.
func (r *recorder) write(ctx context.Context) bool {
	r.mu.Lock()
	next := r.next
	r.mu.Unlock()
	s := r.service
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if err := s.Leases.Record(ctx, s.View.Node(), next.generation, next.shards); err != nil {
		if !r.failed {
			s.Log.Emit(wharfevents.ShardsNotRecorded, wharfevents.ErrorField(err))
		}
		r.failed = true
		return false
	}
	r.failed = false
	return true
}

// read returns the record of an earlier process of this node, the zero record if there is none. It
// returns false if the record can't be read.
func (r *recorder) read(ctx context.Context) (record, bool) {
	s := r.service
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	generation, shards, err := s.Leases.Recorded(ctx, s.View.Node())
	if err != nil {
		s.Log.Emit(wharfevents.ShardsNotRecorded, wharfevents.ErrorField(err))
		return record{}, false
	}
	return record{generation, shards}, true
}
