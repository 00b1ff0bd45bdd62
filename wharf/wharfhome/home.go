package wharfhome

import (
	"time"

	"ragwortwharf.dev/wharf/wharfoutcome"
)

// Home decides on requests with keys for one life of a node.
type Home struct {
	Self Owner
	Keys *Keys
}

// Plan is a decision, and for a key that was taken the earlier homes that have
// to close it before it may run.
type Plan struct {
	Decision
	Consult []Owner
}

// Receive decides on a request for a key. What this node has run it knows
// whoever the home is at present, and however old its view of the log.
func (h Home) Receive(now time.Time, v View, id KeyID, fingerprint uint64, horizon Horizon) Plan {
	if v.stale(now, horizon) {
		return Plan{Decision: h.recall(id, fingerprint, wharfoutcome.ReasonHomeCatchingUp)}
	}
	r, ok := v.Table.Resolve(now, id.Service, id.Key, horizon)
	if !ok || !r.Owner.Same(h.Self) {
		return Plan{Decision: h.recall(id, fingerprint, wharfoutcome.ReasonHomeMoved)}
	}
	d := h.Keys.Begin(now, id, fingerprint, r.Since)
	if d.Step != Take {
		return Plan{Decision: d}
	}
	if r.Lost {
		return Plan{Decision: h.giveUp(id, wharfoutcome.ReasonHomeMoved)}
	}
	return Plan{Decision: d, Consult: r.Consult}
}

// CatchUp decides on a request whose sender knows more of the log than this
// node.
func (h Home) CatchUp(id KeyID, fingerprint uint64) Plan {
	return Plan{Decision: h.recall(id, fingerprint, wharfoutcome.ReasonHomeCatchingUp)}
}

// recall decides on a request that may not be taken: by the record of the key
// if it was dispatched here, else it is refused for a reason.
func (h Home) recall(id KeyID, fingerprint uint64, reason wharfoutcome.Reason) Decision {
	if d, dispatched := h.Keys.Recall(id, fingerprint); dispatched {
		return d
	}
	return refusal(wharfoutcome.Refuse(reason))
}

// Unreachable ends a request whose key an earlier home could not close. The
// request didn't run here, but an earlier send of it may have run there.
func (h Home) Unreachable(id KeyID) Decision {
	return h.giveUp(id, wharfoutcome.ReasonHomeUnreachable)
}

func (h Home) giveUp(id KeyID, reason wharfoutcome.Reason) Decision {
	h.Keys.Abandon(id)
	return refusal(wharfoutcome.Uncertain(reason))
}

// MayDispatch checks the ownership once more, right before the dispatch, and
// moves the key to running. If it is false the key doesn't run.
func (h Home) MayDispatch(now time.Time, v View, id KeyID, horizon Horizon) bool {
	owner, ok := v.Table.Owner(id.Service, id.Key)
	if v.stale(now, horizon) || !ok || !owner.Same(h.Self) {
		h.Keys.Abandon(id)
		return false
	}
	return h.Keys.Dispatch(now, id)
}
