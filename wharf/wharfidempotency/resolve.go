package wharfidempotency

import (
	"slices"
	"time"

	"github.com/google/uuid"
)

// DedupWindow bounds the resends of callers and the delay of news.
type DedupWindow struct {
	// Resend is how long a caller may resend a key.
	Resend time.Duration
	// Skew is how far the clocks of callers, nodes and log may differ.
	Skew time.Duration
	// Staleness is how long a home goes on without confirmation that its
	// table is complete. A node that lost a key by a move may run it for as
	// long after the move.
	Staleness time.Duration
}

// OwnershipView is what a node knows of the ownership.
type OwnershipView struct {
	Table *OwnershipTable
	// ConfirmedAt is the latest time for which the table is known to be complete.
	ConfirmedAt time.Time
}

// stale reports whether the view is too old to act on.
func (v OwnershipView) stale(now time.Time, horizon DedupWindow) bool {
	return now.Sub(v.ConfirmedAt) > horizon.Staleness
}

// Resolution says what a home has to do before it may run a key for the
// first time.
type Resolution struct {
	Owner Owner
	// Since is the offset from which on the owner has had the key.
	Since uint64
	// PreviousOwners lists the earlier homes that have to close the key.
	PreviousOwners []Owner
	// RecordsLost says that an earlier home is gone and took its records along.
	RecordsLost bool
}

// Resolve finds the home of a key and the earlier homes that may know of it.
func (t *OwnershipTable) Resolve(now time.Time, service, key string, horizon DedupWindow) (Resolution, bool) {
	if t == nil {
		return Resolution{}, false
	}
	h := t.services[service]
	owner, ok := rendezvous(h.present().Owners, key)
	if !ok {
		return Resolution{}, false
	}
	r := Resolution{Owner: owner, Since: h.ownedSince(owner, key)}
	oldest := firstSendAfter(now, key, horizon)
	for i := len(h.epochs) - 2; i >= 0; i-- {
		lastRun := h.epochs[i+1].Start.Add(horizon.Staleness)
		if !lastRun.After(oldest) {
			break
		}
		earlier, ok := rendezvous(h.epochs[i].Owners, key)
		if ok && !earlier.Same(owner) {
			t.addPreviousOwner(&r, h, earlier, oldest)
		}
	}
	if h.truncated && h.epochs[0].Start.Add(horizon.Staleness).After(oldest) {
		r.RecordsLost = true
	}
	return r, true
}

// ownedSince returns the offset from which on an owner has had a key without a
// break.
func (h history) ownedSince(owner Owner, key string) uint64 {
	since := h.present().Offset
	for i := len(h.epochs) - 2; i >= 0; i-- {
		earlier, ok := rendezvous(h.epochs[i].Owners, key)
		if !ok || !earlier.Same(owner) {
			break
		}
		since = h.epochs[i].Offset
	}
	return since
}

// firstSendAfter returns a time before which the key was not sent.
func firstSendAfter(now time.Time, key string, horizon DedupWindow) time.Time {
	oldest := now.Add(-horizon.Resend - horizon.Skew)
	minted, ok := generatedAt(key)
	if ok && minted.Add(-horizon.Skew).After(oldest) {
		return minted.Add(-horizon.Skew)
	}
	return oldest
}

func (t *OwnershipTable) addPreviousOwner(r *Resolution, h history, earlier Owner, oldest time.Time) {
	if t.ended[incarnationKey(earlier)].handedOver {
		return
	}
	if slices.ContainsFunc(r.PreviousOwners, earlier.Same) {
		return
	}
	ended, replaced := h.replacedAt(earlier)
	switch {
	case !replaced:
		r.PreviousOwners = append(r.PreviousOwners, earlier)
	case ended.After(oldest):
		r.RecordsLost = true
	}
}

// replacedAt returns when a newer life of the node was announced. The earlier
// life ran nothing after that, and its records are gone.
func (h history) replacedAt(earlier Owner) (time.Time, bool) {
	for _, e := range h.epochs {
		for _, o := range e.Owners {
			if o.Node == earlier.Node && o.Incarnation > earlier.Incarnation {
				return e.Start, true
			}
		}
	}
	return time.Time{}, false
}

// generatedAt returns the time that a key of the form UUIDv7 was made at.
func generatedAt(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	seconds, nanoseconds := id.Time().UnixTime()
	return time.Unix(seconds, nanoseconds), true
}
