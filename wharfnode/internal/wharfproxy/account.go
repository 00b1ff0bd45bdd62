package wharfproxy

import (
	"context"
	"time"

	"ragwortwharf.dev/wharf/wharfadmission"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfquota"
	"ragwortwharf.dev/wharf/wharfroute"
)

// quotas bounds the requests of client accounts over all nodes.
type quotas interface {
	// Take takes a request of an account from its quota. It returns the outcome that refuses the
	// request, and false, if nothing is left.
	Take(ctx context.Context, a *wharfroute.Account) (wharfquota.Token, wharfoutcome.Outcome, bool)
	// Return gives back the token of a request that didn't reach a target.
	Return(a *wharfroute.Account, t wharfquota.Token)
	// Standing returns what this node knows of the quota of an account. It takes nothing from it.
	Standing(a *wharfroute.Account) wharfquota.Standing
}

// authenticate finds the client account of a request from the key that the caller sent, and
// removes the key, which nobody else is shown. It does nothing unless the routes require keys. The
// age is that of the keys in the table, or more. A request without a key needs no present keys to
// be refused.
func (p *Proxy) authenticate(c *call, table *wharfroute.Table, r *wharfroute.Route, age time.Duration) wharfoutcome.Reason {
	if !table.KeysRequired() {
		return wharfoutcome.ReasonNone
	}
	p.Protocol.RemoveCredential(c.r.Header)
	account, limited, reason := p.checkAccount(r, table.AccountOf(c.hints.Credential), c.hints.Credential != "", age)
	if reason != wharfoutcome.ReasonNone {
		return reason
	}
	if limited {
		c.quota = account
	}
	if account != nil {
		c.account, c.authenticated = account.Name, true
	}
	c.policy.Class = rankClass(accountRank(account, r))
	return wharfoutcome.ReasonNone
}

// checkAccount returns the account that counts for a request of a route, nil if none does, and
// whether its quota limits the request. The account passed in is that of the key, if one was sent.
func (p *Proxy) checkAccount(r *wharfroute.Route, account *wharfroute.Account, keySent bool, age time.Duration) (counted *wharfroute.Account, limited bool, reason wharfoutcome.Reason) {
	confirmed := p.MaxKeyAge <= 0 || age < p.MaxKeyAge
	switch {
	case r.Public && !confirmed:
		return nil, false, wharfoutcome.ReasonNone
	case r.Public:
		return account, false, wharfoutcome.ReasonNone
	case !keySent:
		return nil, false, wharfoutcome.ReasonUnknownKey
	case !confirmed:
		return nil, false, wharfoutcome.ReasonKeysUnconfirmed
	case account == nil && p.MaxKeyAge > 0 && age > p.ChangeTime:
		// The key may be one that was added since the confirmation and is in force elsewhere.
		return nil, false, wharfoutcome.ReasonKeysUnconfirmed
	case account == nil:
		return nil, false, wharfoutcome.ReasonUnknownKey
	default:
		return account, account.Quota.Limited() && p.Quotas != nil, wharfoutcome.ReasonNone
	}
}

// accountRank returns the rank of a request of an account, which may be nil.
func accountRank(a *wharfroute.Account, r *wharfroute.Route) int {
	return min(a.RequestRank(r.Rank), wharfadmission.LastRank)
}

// takeQuota takes the request from the quota of its client account.
func (p *Proxy) takeQuota(c *call) (wharfoutcome.Outcome, bool) {
	if c.quota == nil {
		return wharfoutcome.Outcome{}, true
	}
	token, o, taken := p.Quotas.Take(c.ctx, c.quota)
	if !taken {
		c.quota = nil
	}
	c.token = token
	return o, taken
}

// returnQuota gives a request back to the quota of its client account if it never reaches a
// target.
func (p *Proxy) returnQuota(c *call, o wharfoutcome.Outcome) {
	if c.quota != nil && o.Kind == wharfoutcome.NotRun {
		p.Quotas.Return(c.quota, c.token)
		c.quota = nil
	}
}
