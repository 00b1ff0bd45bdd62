package wharfentry

import (
	"encoding/hex"
	"net"
	"net/http"

	"github.com/google/uuid"

	"ragwortwharf.dev/wharf/wharfbudget"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfwire"
)

const (
	// maxKeyLength bounds the key of a caller, in bytes.
	maxKeyLength = 256
	// maxNameLength bounds the names of services and callers, in bytes.
	maxNameLength = 256
)

// identify finds out which service is called, by whom, and on behalf of which
// user request.
func (e *Entry) identify(c *call) (wharfoutcome.Outcome, bool) {
	c.service = serviceOf(c.r)
	c.caller = c.r.Header.Get(wharfwire.HeaderCaller)
	c.key = c.r.Header.Get(wharfwire.HeaderIdempotencyKey)
	if c.service == "" || len(c.service) > maxNameLength {
		return wharfoutcome.Refuse(wharfoutcome.ReasonMissingService), false
	}
	if len(c.key) > maxKeyLength || len(c.caller) > maxNameLength {
		return wharfoutcome.Refuse(wharfoutcome.ReasonMalformedKey), false
	}
	text := c.r.Header.Get(wharfwire.HeaderContext)
	if text == "" {
		id := uuid.New()
		c.requestID = hex.EncodeToString(id[:])
		return wharfoutcome.Outcome{}, true
	}
	return e.continueRequest(c, text)
}

// continueRequest ties a call of the service on this VM to the call that the
// service is serving.
func (e *Entry) continueRequest(c *call, text string) (wharfoutcome.Outcome, bool) {
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
	c.requestID, c.depth, c.served = served.Request, served.Depth, served
	c.grant = &ledgerGrant{ledger: e.Ledger, id: id}
	return wharfoutcome.Outcome{}, true
}

// serviceOf returns the service that a request names: by header, else by host.
func serviceOf(r *http.Request) string {
	if name := r.Header.Get(wharfwire.HeaderService); name != "" {
		return name
	}
	host := r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	if net.ParseIP(host) != nil || host == "localhost" {
		return ""
	}
	return host
}
