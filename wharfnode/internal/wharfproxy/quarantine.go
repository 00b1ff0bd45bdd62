package wharfproxy

import (
	"time"

	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfrouting"
)

// checkQuarantine refuses a request that crashes targets.
func (e *Proxy) checkQuarantine(c *call) (wharfoutcome.Outcome, bool) {
	left, refused := e.Quarantine.Quarantined(time.Now(), c.fingerprint)
	if refused {
		return wharfoutcome.Refuse(wharfoutcome.ReasonQuarantined).WithRetryAfter(left), false
	}
	return wharfoutcome.Outcome{}, true
}

// exposureLimit bounds the targets that a request may run on until it is known to
// crash none.
func (s *sending) exposureLimit() wharfrouting.ExposureLimit {
	e, fp := s.entry, s.call.fingerprint
	suspicion, suspected := e.Quarantine.Suspicion(time.Now(), fp)
	if !suspected && e.safeRequests.Has(fp) {
		return wharfrouting.ExposureLimit{}
	}
	return wharfrouting.ExposureLimit{
		Fingerprint: uint64(fp),
		Crashed:     append(suspicion.Targets(), s.mayHaveCrashed...),
	}
}

// markSafe remembers that a request has run without harm.
func (e *Proxy) markSafe(c *call) {
	e.safeRequests.Add(c.fingerprint)
	_, _ = e.Quarantine.RecordSuccess(time.Now(), c.fingerprint)
}
