package wharfproxy

import (
	"encoding/hex"

	"github.com/google/uuid"

	"ragwortwharf.dev/wharf/wharfbudget"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfwire"
)

// identify finds out which service is called, by whom, and on behalf of which
// user request.
func (e *Proxy) identify(c *call) (wharfoutcome.Outcome, bool) {
	said, reason := e.Protocol.Identify(c.r)
	c.hints, c.service, c.caller, c.key = said, said.Service, said.Caller, said.Key
	if reason != wharfoutcome.ReasonNone {
		return wharfoutcome.Refuse(reason), false
	}
	if said.Context != "" {
		return e.continueRequest(c, said.Context)
	}
	c.requestID = said.ID
	if c.requestID == "" {
		id := uuid.New()
		c.requestID = hex.EncodeToString(id[:])
	}
	return wharfoutcome.Outcome{}, true
}

// continueRequest ties a call of the service on this VM to the call that the
// service is serving.
func (e *Proxy) continueRequest(c *call, text string) (wharfoutcome.Outcome, bool) {
	parsed, err := wharfwire.ParseContext(text)
	if err != nil {
		return wharfoutcome.Refuse(wharfoutcome.ReasonMalformedContext), false
	}
	id := wharfbudget.GrantID(parsed.Grant)
	served, ok := e.Ledger.Get(id)
	if !ok || served.Request != parsed.RequestID {
		// The call that this belongs to has ended or was never served here.
		return wharfoutcome.Refuse(wharfoutcome.ReasonAttemptsSpent), false
	}
	if served.Depth > wharfwire.MaxDepth {
		return wharfoutcome.Refuse(wharfoutcome.ReasonDepthExceeded), false
	}
	c.requestID, c.depth, c.parent = served.Request, served.Depth, served
	c.grant = &ledgerGrant{ledger: e.Ledger, id: id}
	return wharfoutcome.Outcome{}, true
}
