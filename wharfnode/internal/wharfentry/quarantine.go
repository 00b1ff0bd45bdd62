package wharfentry

import (
	"time"

	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfquarantine"
)

// checkQuarantine refuses a request that crashes targets.
func (e *Entry) checkQuarantine(c *call) (wharfoutcome.Outcome, bool) {
	left, refused := e.Quarantine.Quarantined(time.Now(), wharfquarantine.Fingerprint(c.fingerprint))
	if refused {
		return wharfoutcome.Refuse(wharfoutcome.ReasonQuarantined).WithRetryAfter(left), false
	}
	return wharfoutcome.Outcome{}, true
}
