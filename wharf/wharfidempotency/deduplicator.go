package wharfidempotency

import (
	"time"

	"ragwortwharf.dev/wharf/wharfoutcome"
)

// Deduplicator decides whether one incarnation of a node may run requests that
// carry an idempotency key.
type Deduplicator struct {
	Self Owner
	Keys *KeyStore
}

// Plan is the decision on a request. If the decision is Proceed, PreviousOwners
// lists the nodes that must close the key before the request may run.
type Plan struct {
	Decision
	PreviousOwners []Owner
}

// Decide decides on a request for a key. If this node has dispatched the key,
// the entry of the key decides, even if another node is the owner now or the view
// of the log is stale.
func (d Deduplicator) Decide(now time.Time, v OwnershipView, id KeyID, fingerprint uint64, window DedupWindow) Plan {
	if v.stale(now, window) {
		return Plan{Decision: d.lookup(id, fingerprint, wharfoutcome.ReasonOwnerCatchingUp)}
	}
	r, ok := v.Table.Resolve(now, id.Service, id.Key, window)
	if !ok || !r.Owner.Same(d.Self) {
		return Plan{Decision: d.lookup(id, fingerprint, wharfoutcome.ReasonOwnerMoved)}
	}
	decision := d.Keys.Begin(now, id, fingerprint, r.Since)
	if decision.Action != Proceed {
		return Plan{Decision: decision}
	}
	if r.EntriesLost {
		return Plan{Decision: d.abort(id, wharfoutcome.ReasonOwnerMoved)}
	}
	return Plan{Decision: decision, PreviousOwners: r.PreviousOwners}
}

// DecideStale decides on a request whose sender has read more of the log than
// this node.
func (d Deduplicator) DecideStale(id KeyID, fingerprint uint64) Plan {
	return Plan{Decision: d.lookup(id, fingerprint, wharfoutcome.ReasonOwnerCatchingUp)}
}

// lookup decides on a request for a key that this node may not run. If the key
// was dispatched on this node, its entry decides; otherwise the request is refused
// with the given reason.
func (d Deduplicator) lookup(id KeyID, fingerprint uint64, reason wharfoutcome.Reason) Decision {
	if decision, dispatched := d.Keys.Lookup(id, fingerprint); dispatched {
		return decision
	}
	return refusal(wharfoutcome.Refuse(reason))
}

// AbortUnreachable ends a request whose key a previous owner could not close.
// The request did not run on this node, but an earlier send of it may have run on
// the previous owner.
func (d Deduplicator) AbortUnreachable(id KeyID) Decision {
	return d.abort(id, wharfoutcome.ReasonOwnerUnreachable)
}

// abort removes a waiting key and reports that the request may have run on a
// previous owner.
func (d Deduplicator) abort(id KeyID, reason wharfoutcome.Reason) Decision {
	d.Keys.Abandon(id)
	return refusal(wharfoutcome.Uncertain(reason))
}

// TryDispatch checks the ownership again right before the dispatch and moves the
// key to running. It reports whether the request may be sent to the target.
func (d Deduplicator) TryDispatch(now time.Time, v OwnershipView, id KeyID, window DedupWindow) bool {
	owner, ok := v.Table.Owner(id.Service, id.Key)
	if v.stale(now, window) || !ok || !owner.Same(d.Self) {
		d.Keys.Abandon(id)
		return false
	}
	return d.Keys.Dispatch(now, id)
}
