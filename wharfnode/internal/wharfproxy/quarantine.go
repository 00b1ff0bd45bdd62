package wharfproxy

import (
	"time"

	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfrouting"
)

// checkQuarantine refuses a request that is quarantined because it crashes
// targets.
func (p *Proxy) checkQuarantine(c *call) (wharfoutcome.Outcome, bool) {
	remaining, quarantined := p.Quarantine.Quarantined(time.Now(), c.fingerprint)
	if quarantined {
		return wharfoutcome.Refuse(wharfoutcome.ReasonQuarantined).WithRetryAfter(remaining), false
	}
	return wharfoutcome.Outcome{}, true
}

// exposureLimit returns the limit on the targets that the request may run on.
// The limit is zero, which allows all targets, once the request is known safe.
func (s *attemptLoop) exposureLimit() wharfrouting.ExposureLimit {
	p, fingerprint := s.proxy, s.call.fingerprint
	suspicion, suspected := p.Quarantine.Suspicion(time.Now(), fingerprint)
	if !suspected && p.safeRequests.Has(fingerprint) {
		return wharfrouting.ExposureLimit{}
	}
	return wharfrouting.ExposureLimit{
		Fingerprint: uint64(fingerprint),
		Crashed:     append(suspicion.Targets(), s.mayHaveCrashed...),
	}
}

// markSafe records that the request completed without a crash.
func (p *Proxy) markSafe(c *call) {
	p.safeRequests.Add(c.fingerprint)
	_, _ = p.Quarantine.RecordSuccess(time.Now(), c.fingerprint)
}
