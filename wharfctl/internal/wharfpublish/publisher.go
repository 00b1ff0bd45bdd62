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

// logClient is the part of the platform's log client that Publisher uses.
type logClient interface {
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (wharfstream.Batch, error)
}

const (
	// readLimit is the maximum number of records per read.
	readLimit = 500
	// retryInterval is the pause before an append is repeated.
	retryInterval = 500 * time.Millisecond
)

// Publisher appends changes to the log and reads the state from it.
type Publisher struct {
	LogClient logClient
}

// State reads the log to its end and returns the state.
func (p Publisher) State(ctx context.Context) (*wharfstate.State, error) {
	return p.catchUp(ctx, nil)
}

// catchUp applies the records after the state's offset and returns the new
// state. If the next record has expired, it continues at the oldest record kept;
// a snapshot in the later records must then cover the gap.
func (p Publisher) catchUp(ctx context.Context, s *wharfstate.State) (*wharfstate.State, error) {
	from := s.Offset() + 1
	// WithRecords skips a gap only if a snapshot is among the records that it
	// gets, so each call passes all records read so far.
	var pending []wharfstream.Record
	for {
		batch, err := p.LogClient.Read(ctx, wharfstate.StateStream, from, readLimit, 0)
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
			return s, oops.Code("no-snapshot").Errorf("records before offset %d have expired and the log contains no snapshot that replaces them", batch.Oldest)
		}
		return s, nil
	}
}

// Result is the result of publishing a change.
type Result struct {
	// Known is false if the change may have been published, but no decision on
	// it was found. Err is set then.
	Known bool
	// Decision is the decision on the change. It is set if Known is true and
	// Err is nil.
	Decision wharfconfig.Decision
	// Err is the reason why there is no decision, or nil.
	Err error
}

// Change returns a change that creates or replaces the objects described by the
// documents. Objects that already equal their document are omitted. A base other
// than zero is the offset of the configuration that the author saw; objects that
// changed after that offset conflict.
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

// Deletion returns a change that removes objects. Its base has the same meaning
// as that of Change.
func Deletion(s *wharfstate.State, author, note string, base uint64, keys []wharfconfig.ObjectKey) wharfconfig.Change {
	change := wharfconfig.Change{ID: uuid.NewString(), Author: author, Note: note, Made: time.Now()}
	for _, key := range keys {
		current, _ := s.Config().Object(key)
		change.Edits = append(change.Edits, wharfconfig.Edit{Key: key, Base: baseOf(current.Version, base)})
	}
	return change
}

// baseOf returns the version that an edit is based on. If the object is newer
// than the offset that the author saw, the result is that offset, so that the
// conflict is detected when the change is applied.
func baseOf(current, seenOffset uint64) uint64 {
	if seenOffset > 0 && current > seenOffset {
		return seenOffset
	}
	return current
}

// Publish appends a change and waits for the decision until ctx ends. It repeats
// the append under the same change ID until the decision is found; a change ID
// that is already decided is not applied again.
func (p Publisher) Publish(ctx context.Context, s *wharfstate.State, change wharfconfig.Change) Result {
	data, err := wharfstate.Envelope{Change: &change}.Encode()
	if err != nil {
		return Result{Known: true, Err: err}
	}
	var lastErr error
	mayBeAppended := false
	for ctx.Err() == nil {
		_, err := p.LogClient.Append(ctx, wharfstate.StateStream, data)
		if err != nil {
			lastErr = err
		}
		refused := errors.Is(err, wharfstream.ErrRateLimited) || errors.Is(err, wharfstream.ErrUnavailable)
		mayBeAppended = mayBeAppended || !refused
		// An append without a response may take effect later, so the second look comes just
		// before the next append.
		for _, pause := range []time.Duration{0, retryInterval} {
			wharftimer.Sleep(ctx, pause)
			next, decision, found := p.findDecision(ctx, s, change.ID)
			if found {
				return Result{Known: true, Decision: decision}
			}
			s = next
		}
	}
	if !mayBeAppended {
		return Result{Known: true, Err: oops.Code("not-published").Wrapf(lastErr, "nothing was published")}
	}
	// The code stays for existing clients. It means that the result is unknown.
	return Result{Err: oops.Code("unknown").Wrapf(errors.Join(lastErr, ctx.Err()), "the change may or may not have been published")}
}

// findDecision reads the log to its end and looks for the decision on a change.
func (p Publisher) findDecision(ctx context.Context, s *wharfstate.State, id string) (*wharfstate.State, wharfconfig.Decision, bool) {
	next, err := p.catchUp(ctx, s)
	if err != nil {
		return s, wharfconfig.Decision{}, false
	}
	decision, found := next.Config().Decision(id)
	return next, decision, found
}

// Evict ends the key ownership of a node that is permanently down. It returns an
// error with code not-owner if the node owns no keys.
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
	_, err = p.LogClient.Append(ctx, wharfstate.StateStream, data)
	return err
}

// ownerOf returns the first ownership entry of a node.
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

// Records returns all records of a stream that have not expired.
func (p Publisher) Records(ctx context.Context, stream string) ([]wharfstream.Record, error) {
	var out []wharfstream.Record
	from := uint64(1)
	for {
		batch, err := p.LogClient.Read(ctx, stream, from, readLimit, 0)
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

// ProposedChange returns the change that the documents would make, at the offset
// after the configuration's. The caller can apply it without publishing it.
func ProposedChange(config *wharfconfig.Snapshot, docs []wharfconfig.SourceDocument) wharfconfig.LoggedChange {
	change := wharfconfig.Change{ID: uuid.NewString()}
	for _, d := range docs {
		current, _ := config.Object(d.Key())
		change.Edits = append(change.Edits, wharfconfig.Edit{Key: d.Key(), Base: current.Version, Document: &d.Document})
	}
	return wharfconfig.LoggedChange{Change: change, Offset: config.Offset() + 1}
}
