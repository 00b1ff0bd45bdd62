package wharfidempotency

import (
	"time"

	"ragwortwharf.dev/wharf/wharfoutcome"
)

// Deduplicator decides on requests with keys for one life of a node.
type Deduplicator struct {
	Self Owner
	Keys *KeyStore
}

// Plan is a decision, and for a key that was taken the earlier homes that have
// to close it before it may run.
type Plan struct {
	Decision
	PreviousOwners []Owner
}

// Decide decides on a request for a key. What this node has run it knows
// whoever the home is at present, and however old its view of the log.
func (h Deduplicator) Decide(now time.Time, v OwnershipView, id KeyID, fingerprint uint64, horizon DedupWindow) Plan {
	if v.stale(now, horizon) {
		return Plan{Decision: h.lookup(id, fingerprint, wharfoutcome.ReasonHomeCatchingUp)}
	}
	r, ok := v.Table.Resolve(now, id.Service, id.Key, horizon)
	if !ok || !r.Owner.Same(h.Self) {
		return Plan{Decision: h.lookup(id, fingerprint, wharfoutcome.ReasonHomeMoved)}
	}
	d := h.Keys.Begin(now, id, fingerprint, r.Since)
	if d.Action != Proceed {
		return Plan{Decision: d}
	}
	if r.RecordsLost {
		return Plan{Decision: h.abort(id, wharfoutcome.ReasonHomeMoved)}
	}
	return Plan{Decision: d, PreviousOwners: r.PreviousOwners}
}

// DecideStale decides on a request whose sender knows more of the log than this
// node.
func (h Deduplicator) DecideStale(id KeyID, fingerprint uint64) Plan {
	return Plan{Decision: h.lookup(id, fingerprint, wharfoutcome.ReasonHomeCatchingUp)}
}

// lookup decides on a request that may not be taken: by the record of the key
// if it was dispatched here, else it is refused for a reason.
func (h Deduplicator) lookup(id KeyID, fingerprint uint64, reason wharfoutcome.Reason) Decision {
	if d, dispatched := h.Keys.Lookup(id, fingerprint); dispatched {
		return d
	}
	return refusal(wharfoutcome.Refuse(reason))
}

// PreviousUnreachable ends a request whose key an earlier home could not close. The
// request didn't run here, but an earlier send of it may have run there.
func (h Deduplicator) PreviousUnreachable(id KeyID) Decision {
	return h.abort(id, wharfoutcome.ReasonHomeUnreachable)
}

func (h Deduplicator) abort(id KeyID, reason wharfoutcome.Reason) Decision {
	h.Keys.Abandon(id)
	return refusal(wharfoutcome.Uncertain(reason))
}

// TryDispatch checks the ownership once more, right before the dispatch, and
// moves the key to running. If it is false the key doesn't run.
func (h Deduplicator) TryDispatch(now time.Time, v OwnershipView, id KeyID, horizon DedupWindow) bool {
	owner, ok := v.Table.Owner(id.Service, id.Key)
	if v.stale(now, horizon) || !ok || !owner.Same(h.Self) {
		h.Keys.Abandon(id)
		return false
	}
	return h.Keys.Dispatch(now, id)
}
