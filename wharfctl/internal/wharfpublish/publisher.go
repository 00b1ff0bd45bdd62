package wharfpublish

import (
	"context"
	"errors"
	"reflect"
	"time"

	"github.com/google/uuid"
	"github.com/samber/oops"

	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharf/wharfidempotency"
	"ragwortwharf.dev/wharf/wharfstate"
	"ragwortwharf.dev/wharf/wharfstream"
	"ragwortwharf.dev/wharf/wharftimer"
)

// platform is the log as publishing uses it.
type platform interface {
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (wharfstream.Batch, error)
}

const (
	readLimit = 500
	// retryPause is the pause before an append is repeated.
	retryPause = 500 * time.Millisecond
)

// Publisher writes changes and reads the state.
type Publisher struct {
	Platform platform
}

// State reads the log to its end and returns the state.
func (p Publisher) State(ctx context.Context) (*wharfstate.State, error) {
	return p.follow(ctx, nil)
}

// follow folds what the log holds beyond a state. Where records have expired
// it goes on at the oldest, where a snapshot has to bridge the gap.
func (p Publisher) follow(ctx context.Context, s *wharfstate.State) (*wharfstate.State, error) {
	from := s.Offset() + 1
	var pending []wharfstream.Record
	for {
		batch, err := p.Platform.Read(ctx, wharfstate.Stream, from, readLimit, 0)
		if errors.Is(err, wharfstream.ErrExpired) {
			from = batch.Oldest
			continue
		}
		if err != nil {
			return s, oops.Code("log-unavailable").Wrap(err)
		}
		pending = append(pending, batch.Records...)
		s = s.WithRecords(pending)
		from += uint64(len(batch.Records))
		if from < batch.Next {
			continue
		}
		if s.Offset()+1 < batch.Next {
			return s, oops.Code("no-snapshot").Errorf("records up to offset %d have expired and no snapshot is left", batch.Oldest)
		}
		return s, nil
	}
}

// Result is what became of a change.
type Result struct {
	// Known is false if it could not be learnt whether the change was accepted.
	Known    bool
	Decision wharfconfig.Decision
	// Err says what stood in the way.
	Err error
}

// Change builds a change that turns the objects in force into the documents.
// Objects that are already as wanted are left out. A base other than zero is
// the offset that the author saw; objects that moved since then conflict.
func Change(s *wharfstate.State, author, note string, base uint64, documents []wharfconfig.Document) wharfconfig.Change {
	change := wharfconfig.Change{ID: uuid.NewString(), Author: author, Note: note, Made: time.Now()}
	for _, d := range documents {
		current, ok := s.Config().Object(d.Key())
		if ok && reflect.DeepEqual(*current.Document, d) {
			continue
		}
		change.Edits = append(change.Edits, wharfconfig.Edit{
			Key: d.Key(), Base: baseOf(current.Version, base), Document: &d,
		})
	}
	return change
}

// Deletion builds a change that removes objects.
func Deletion(s *wharfstate.State, author, note string, base uint64, keys []wharfconfig.ObjectKey) wharfconfig.Change {
	change := wharfconfig.Change{ID: uuid.NewString(), Author: author, Note: note, Made: time.Now()}
	for _, key := range keys {
		current, _ := s.Config().Object(key)
		change.Edits = append(change.Edits, wharfconfig.Edit{Key: key, Base: baseOf(current.Version, base)})
	}
	return change
}

// baseOf returns the version that an edit was made against. An object that is
// newer than what the author saw keeps the older base, so that the fold finds
// the conflict.
func baseOf(current, seen uint64) uint64 {
	if seen > 0 && current > seen {
		return seen
	}
	return current
}

// Publish appends a change and waits for the verdict. An append without an
// answer is repeated under the same id, which folds once.
func (p Publisher) Publish(ctx context.Context, s *wharfstate.State, change wharfconfig.Change) Result {
	data, err := wharfstate.Envelope{Change: &change}.Encode()
	if err != nil {
		return Result{Known: true, Err: err}
	}
	var last error
	mayHaveLanded := false
	for ctx.Err() == nil {
		_, err := p.Platform.Append(ctx, wharfstate.Stream, data)
		if err != nil {
			last = err
		}
		refused := errors.Is(err, wharfstream.ErrRateLimited) || errors.Is(err, wharfstream.ErrUnavailable)
		mayHaveLanded = mayHaveLanded || !refused
		next, verdict, found := p.await(ctx, s, change.ID)
		if found {
			return Result{Known: true, Decision: verdict}
		}
		s = next
		wharftimer.Sleep(ctx, retryPause)
	}
	if !mayHaveLanded {
		return Result{Known: true, Err: oops.Code("not-published").Wrapf(last, "nothing was published")}
	}
	return Result{Err: oops.Code("unknown").Wrapf(errors.Join(last, ctx.Err()), "the change may or may not have been published")}
}

// await looks for the verdict on a change in what the log holds now.
func (p Publisher) await(ctx context.Context, s *wharfstate.State, id string) (*wharfstate.State, wharfconfig.Decision, bool) {
	next, err := p.follow(ctx, s)
	if err != nil {
		return s, wharfconfig.Decision{}, false
	}
	verdict, found := next.Config().Decision(id)
	return next, verdict, found
}

// Evict ends the ownership of a node that is gone for good.
func (p Publisher) Evict(ctx context.Context, s *wharfstate.State, author, node string) error {
	owner, ok := ownerOf(s, node)
	if !ok {
		return oops.Code("not-owner").Errorf("node %s owns no keys", node)
	}
	record := wharfidempotency.OwnershipRecord{Kind: wharfidempotency.Evict, Node: node, Incarnation: owner.Incarnation, By: author}
	data, err := wharfstate.Envelope{Ownership: &record}.Encode()
	if err != nil {
		return err
	}
	_, err = p.Platform.Append(ctx, wharfstate.Stream, data)
	return err
}

func ownerOf(s *wharfstate.State, node string) (wharfidempotency.Owner, bool) {
	for _, h := range s.Ownership().Save().Services {
		for _, o := range s.Ownership().Owners(h.Service) {
			if o.Node == node {
				return o, true
			}
		}
	}
	return wharfidempotency.Owner{}, false
}

// Records reads a whole stream, as far as it is kept.
func (p Publisher) Records(ctx context.Context, stream string) ([]wharfstream.Record, error) {
	var out []wharfstream.Record
	from := uint64(1)
	for {
		batch, err := p.Platform.Read(ctx, stream, from, readLimit, 0)
		if errors.Is(err, wharfstream.ErrExpired) {
			from = batch.Oldest
			continue
		}
		if err != nil {
			return out, oops.Code("log-unavailable").Wrap(err)
		}
		out = append(out, batch.Records...)
		from += uint64(len(batch.Records))
		if from >= batch.Next {
			return out, nil
		}
	}
}

// ProposedChange returns the change that documents would make, placed right after
// a configuration, to try them without publishing.
func ProposedChange(config *wharfconfig.Snapshot, docs []wharfconfig.SourceDocument) wharfconfig.LoggedChange {
	change := wharfconfig.Change{ID: uuid.NewString()}
	for _, d := range docs {
		current, _ := config.Object(d.Key())
		change.Edits = append(change.Edits, wharfconfig.Edit{Key: d.Key(), Base: current.Version, Document: &d.Document})
	}
	return wharfconfig.LoggedChange{Change: change, Offset: config.Offset() + 1}
}
