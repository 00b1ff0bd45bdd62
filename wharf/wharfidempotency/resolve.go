package wharfidempotency

import (
	"slices"
	"time"

	"github.com/google/uuid"
)

// DedupWindow limits how long callers may resend a key and how old the ownership
// table of an owner may be.
type DedupWindow struct {
	// Resend is how long a caller may resend a key.
	Resend time.Duration
	// Skew is how far the clocks of callers, nodes and the log may differ.
	Skew time.Duration
	// Staleness is how long an owner may run keys without confirmation that its
	// table is complete. A node that is no longer the owner of a key may still
	// run the key for this long after the change of owner.
	Staleness time.Duration
}

// OwnershipView is the ownership as one node knows it.
type OwnershipView struct {
	Table *OwnershipTable
	// ConfirmedAt is the latest time at which the state of the node is known to
	// have included the whole log, so that the table was complete.
	ConfirmedAt time.Time
}

// stale reports whether the view is too old for the node to run keys.
func (v OwnershipView) stale(now time.Time, window DedupWindow) bool {
	return now.Sub(v.ConfirmedAt) > window.Staleness
}

// Resolution names the owner of a key and what the owner must do before it may
// run the key for the first time.
type Resolution struct {
	Owner Owner
	// Since is the log offset at which the owner began to own the key.
	Since uint64
	// PreviousOwners lists the previous owners that must close the key.
	PreviousOwners []Owner
	// EntriesLost means that the key may have run on a previous owner that is no
	// longer known or whose entries no longer exist.
	EntriesLost bool
}

// Resolve returns the owner of a key and the previous owners that may have run
// it. It returns false if the service has no owners.
func (t *OwnershipTable) Resolve(now time.Time, service, key string, window DedupWindow) (Resolution, bool) {
	if t == nil {
		return Resolution{}, false
	}
	h := t.services[service]
	owner, ok := rendezvous(h.current().Owners, key)
	if !ok {
		return Resolution{}, false
	}
	r := Resolution{Owner: owner, Since: h.ownedSince(owner, key)}
	earliestSend := earliestSendTime(now, key, window)
	for i := len(h.epochs) - 2; i >= 0; i-- {
		lastRun := h.epochs[i+1].Start.Add(window.Staleness)
		if !lastRun.After(earliestSend) {
			break
		}
		previous, ok := rendezvous(h.epochs[i].Owners, key)
		if ok && !previous.Same(owner) {
			t.addPreviousOwner(&r, h, previous, earliestSend)
		}
	}
	if h.truncated && h.epochs[0].Start.Add(window.Staleness).After(earliestSend) {
		r.EntriesLost = true
	}
	return r, true
}

// ownedSince returns the log offset from which an owner has owned a key without
// interruption.
func (h history) ownedSince(owner Owner, key string) uint64 {
	since := h.current().Offset
	for i := len(h.epochs) - 2; i >= 0; i-- {
		previous, ok := rendezvous(h.epochs[i].Owners, key)
		if !ok || !previous.Same(owner) {
			break
		}
		since = h.epochs[i].Offset
	}
	return since
}

// earliestSendTime returns a time before which the key was not sent: the start of
// the resend window or, if later, the time at which a UUIDv7 key was generated,
// both minus the clock skew.
func earliestSendTime(now time.Time, key string, window DedupWindow) time.Time {
	earliestSend := now.Add(-window.Resend - window.Skew)
	generated, ok := generatedAt(key)
	if ok && generated.Add(-window.Skew).After(earliestSend) {
		return generated.Add(-window.Skew)
	}
	return earliestSend
}

// addPreviousOwner adds a previous owner that must close the key. A node that
// handed its entries over is skipped. If a newer incarnation of the node has
// replaced it, its entries are lost, which matters only if this happened after
// earliestSend.
func (t *OwnershipTable) addPreviousOwner(r *Resolution, h history, previous Owner, earliestSend time.Time) {
	if t.ended[incarnationKey(previous)].handedOver {
		return
	}
	if slices.ContainsFunc(r.PreviousOwners, previous.Same) {
		return
	}
	endedAt, replaced := h.replacedAt(previous)
	switch {
	case !replaced:
		r.PreviousOwners = append(r.PreviousOwners, previous)
	case endedAt.After(earliestSend):
		r.EntriesLost = true
	}
}

// replacedAt returns when a newer incarnation of the node was announced. The
// earlier incarnation ran nothing after that, and its entries no longer exist.
func (h history) replacedAt(previous Owner) (time.Time, bool) {
	for _, e := range h.epochs {
		for _, o := range e.Owners {
			if o.Node == previous.Node && o.Incarnation > previous.Incarnation {
				return e.Start, true
			}
		}
	}
	return time.Time{}, false
}

// generatedAt returns the time contained in a key that is a UUIDv7. It returns
// false for any other key.
func generatedAt(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	seconds, nanoseconds := id.Time().UnixTime()
	return time.Unix(seconds, nanoseconds), true
}
