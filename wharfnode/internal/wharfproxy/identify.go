package wharfproxy

import (
	"encoding/hex"
	"unicode/utf8"

	"github.com/google/uuid"

	"ragwortwharf.dev/wharf/wharfbudget"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/internal/wharftarget"
	"ragwortwharf.dev/wharfnode/wharfprotocol"
)

// identify finds out which service is called, by which caller, and for which
// client request.
func (p *Proxy) identify(c *call) (wharfoutcome.Outcome, bool) {
	hints, reason := p.Protocol.Identify(c.r)
	c.hints, c.service, c.caller, c.key = hints, hints.Service, hints.Caller, hints.Key
	if reason != wharfoutcome.ReasonNone {
		return wharfoutcome.Refuse(reason), false
	}
	if !encodable(c.r.RequestURI, hints) {
		return wharfoutcome.Refuse(wharfoutcome.ReasonNotUTF8), false
	}
	if !wharftarget.KeepsURI(c.r.RequestURI) {
		return wharfoutcome.Refuse(wharfoutcome.ReasonMalformedURI), false
	}
	if hints.Context != "" {
		return p.continueRequest(c, hints.Context)
	}
	c.requestID = hints.ID
	if c.requestID == "" {
		id := uuid.New()
		c.requestID = hex.EncodeToString(id[:])
	}
	p.linkParent(c, hints.ParentID)
	return wharfoutcome.Outcome{}, true
}

// encodable reports whether the texts of a request can be sent to another node, in strings of
// a message.
func encodable(uri string, hints wharfprotocol.Request) bool {
	return utf8.ValidString(uri) && utf8.ValidString(hints.ID) && utf8.ValidString(hints.Service) &&
		utf8.ValidString(hints.Caller) && utf8.ValidString(hints.Key)
}

// linkParent links a call made by the service on this VM to its parent, if the service
// is serving a request with this id. The call gets the deadline, the depth, the rank and
// the priority of the parent, but its attempts are those of its own route.
func (p *Proxy) linkParent(c *call, id string) {
	if id == "" {
		return
	}
	parent, ok := p.Ledger.Find(id)
	if !ok {
		return
	}
	c.parent, c.depth, c.linked = parent, parent.Depth, true
	p.Backpressure.RecordDownstreamCall(parent.Route)
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
	p.Backpressure.RecordDownstreamCall(parent.Route)
	c.requestID, c.depth, c.parent = parent.Request, parent.Depth, parent
	c.grant = &ledgerGrant{ledger: p.Ledger, id: id}
	return wharfoutcome.Outcome{}, true
}
