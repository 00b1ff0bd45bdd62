package wharfproxy

import (
	"time"

	"ragwortwharf.dev/wharf/wharfbudget"
)

// grant is where the attempts of a request come from.
type grant interface {
	// take spends one attempt and returns the part handed down.
	take() (handedDown int, ok bool)
	// refundUnused returns what the answer brought back.
	refundUnused(handedDown, returned int)
	// refund takes back an attempt that was never sent.
	refund(handedDown int)
	// begin and end frame the request and record what it has met.
	begin()
	end(m wharfbudget.DownstreamResult)
}

// rootGrant is the grant of a user request that begins here.
type rootGrant struct {
	grant wharfbudget.Grant
}

func (g *rootGrant) take() (handedDown int, ok bool) {
	g.grant, handedDown, ok = g.grant.WithAttempt()
	return handedDown, ok
}

func (g *rootGrant) refundUnused(handedDown, returned int) {
	g.grant = g.grant.WithReturned(handedDown, returned)
}

func (g *rootGrant) refund(handedDown int) {
	g.grant = g.grant.WithRefund(handedDown)
}

func (g *rootGrant) begin() {}

func (g *rootGrant) end(wharfbudget.DownstreamResult) {}

// ledgerGrant is the grant of a call that the service on this VM serves.
type ledgerGrant struct {
	ledger *wharfbudget.Ledger
	id     wharfbudget.GrantID
}

func (g *ledgerGrant) take() (handedDown int, ok bool) {
	return g.ledger.Take(g.id)
}

func (g *ledgerGrant) refundUnused(handedDown, returned int) {
	g.ledger.Return(g.id, handedDown, returned)
}

func (g *ledgerGrant) refund(handedDown int) {
	g.ledger.Refund(g.id, handedDown)
}

func (g *ledgerGrant) begin() {
	g.ledger.CallBegins(time.Now(), g.id)
}

func (g *ledgerGrant) end(m wharfbudget.DownstreamResult) {
	g.ledger.CallEnds(time.Now(), g.id, m)
}
