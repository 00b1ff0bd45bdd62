package wharfproxy

import (
	"time"

	"ragwortwharf.dev/wharf/wharfbudget"
)

// grant is the source of the attempts of a request.
type grant interface {
	// take spends one attempt and returns how many more are delegated to the
	// target's node. The calls that the target makes to serve the request may use
	// these. take returns false if no attempt is left.
	take() (delegated int, ok bool)
	// refundUnused adds the delegated attempts that the node returned unused.
	refundUnused(delegated, returned int)
	// refund takes back an attempt that was never sent, and what was delegated
	// with it.
	refund(delegated int)
	// begin records in the ledger entry of the parent call that the request
	// starts, and end how it ended. They do nothing for a client request.
	begin()
	end(result wharfbudget.DownstreamResult)
}

// rootGrant is the grant of a client request that this node received from its
// caller.
type rootGrant struct {
	grant wharfbudget.Grant
}

func (g *rootGrant) take() (delegated int, ok bool) {
	g.grant, delegated, ok = g.grant.WithAttempt()
	return delegated, ok
}

func (g *rootGrant) refundUnused(delegated, returned int) {
	g.grant = g.grant.WithReturned(delegated, returned)
}

func (g *rootGrant) refund(delegated int) {
	g.grant = g.grant.WithRefund(delegated)
}

func (g *rootGrant) begin() {}

func (g *rootGrant) end(wharfbudget.DownstreamResult) {}

// ledgerGrant takes the attempts of a call that the service on this VM makes
// from the grant of its parent call.
type ledgerGrant struct {
	ledger *wharfbudget.Ledger
	id     wharfbudget.GrantID
}

func (g *ledgerGrant) take() (delegated int, ok bool) {
	return g.ledger.TakeAttempt(g.id)
}

func (g *ledgerGrant) refundUnused(delegated, returned int) {
	g.ledger.Return(g.id, delegated, returned)
}

func (g *ledgerGrant) refund(delegated int) {
	g.ledger.Refund(g.id, delegated)
}

func (g *ledgerGrant) begin() {
	g.ledger.BeginDownstreamCall(time.Now(), g.id)
}

func (g *ledgerGrant) end(result wharfbudget.DownstreamResult) {
	g.ledger.EndDownstreamCall(time.Now(), g.id, result)
}
