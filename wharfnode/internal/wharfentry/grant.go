package wharfentry

import (
	"time"

	"ragwortwharf.dev/wharf/wharfbudget"
)

// grant is where the attempts of a request come from.
type grant interface {
	// take spends one attempt and returns the part handed down.
	take() (handedDown int, ok bool)
	// giveBack returns what the answer brought back.
	giveBack(handedDown, returned int)
	// undo takes back an attempt that was never sent.
	undo(handedDown int)
	// begin and end frame the request and record what it has met.
	begin()
	end(m wharfbudget.Met)
}

// rootGrant is the grant of a user request that begins here.
type rootGrant struct {
	grant wharfbudget.Grant
}

func (g *rootGrant) take() (handedDown int, ok bool) {
	g.grant, handedDown, ok = g.grant.WithAttempt()
	return handedDown, ok
}

func (g *rootGrant) giveBack(handedDown, returned int) {
	g.grant = g.grant.WithReturned(handedDown, returned)
}

func (g *rootGrant) undo(handedDown int) {
	g.grant = g.grant.WithUndone(handedDown)
}

func (g *rootGrant) begin() {}

func (g *rootGrant) end(wharfbudget.Met) {}

// ledgerGrant is the grant of a call that the service on this VM serves.
type ledgerGrant struct {
	ledger *wharfbudget.Ledger
	id     wharfbudget.GrantID
}

func (g *ledgerGrant) take() (handedDown int, ok bool) {
	return g.ledger.Take(g.id)
}

func (g *ledgerGrant) giveBack(handedDown, returned int) {
	g.ledger.Return(g.id, handedDown, returned)
}

func (g *ledgerGrant) undo(handedDown int) {
	g.ledger.Undo(g.id, handedDown)
}

func (g *ledgerGrant) begin() {
	g.ledger.CallBegins(time.Now(), g.id)
}

func (g *ledgerGrant) end(m wharfbudget.Met) {
	g.ledger.CallEnds(time.Now(), g.id, m)
}
