package wharfproxy

import (
	"encoding/hex"

	"github.com/google/uuid"

	"ragwortwharf.dev/wharf/wharfbudget"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfwire"
)

// identify finds out which service is called, by which caller, and for which
// client request.
func (p *Proxy) identify(c *call) (wharfoutcome.Outcome, bool) {
	hints, reason := p.Protocol.Identify(c.r)
	c.hints, c.service, c.caller, c.key = hints, hints.Service, hints.Caller, hints.Key
	if reason != wharfoutcome.ReasonNone {
		return wharfoutcome.Refuse(reason), false
	}
	if hints.Context != "" {
		return p.continueRequest(c, hints.Context)
	}
	c.requestID = hints.ID
	if c.requestID == "" {
		id := uuid.New()
		c.requestID = hex.EncodeToString(id[:])
	}
	return wharfoutcome.Outcome{}, true
}

// continueRequest links a call made by the service on this VM to its parent, the
// call that the service is serving. The node sent the encoded context to the service
// with the parent call.
func (p *Proxy) continueRequest(c *call, encoded string) (wharfoutcome.Outcome, bool) {
	parsed, err := wharfwire.ParseContext(encoded)
	if err != nil {
		return wharfoutcome.Refuse(wharfoutcome.ReasonMalformedContext), false
	}
	id := wharfbudget.GrantID(parsed.Grant)
	parent, ok := p.Ledger.Get(id)
	if !ok || parent.Request != parsed.RequestID {
		// The parent call has ended, was never served here or is part of another
		// request. So the ledger has no grant from which this call may take an
		// attempt.
		return wharfoutcome.Refuse(wharfoutcome.ReasonAttemptsSpent), false
	}
	if parent.Depth > wharfwire.MaxDepth {
		return wharfoutcome.Refuse(wharfoutcome.ReasonDepthExceeded), false
	}
	c.requestID, c.depth, c.parent = parent.Request, parent.Depth, parent
	c.grant = &ledgerGrant{ledger: p.Ledger, id: id}
	return wharfoutcome.Outcome{}, true
}
