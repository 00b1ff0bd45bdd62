package wharfentry

import (
	"time"

	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfrouting"
)

// checkQuarantine refuses a request that crashes targets.
func (e *Entry) checkQuarantine(c *call) (wharfoutcome.Outcome, bool) {
	left, refused := e.Quarantine.Quarantined(time.Now(), c.fingerprint)
	if refused {
		return wharfoutcome.Refuse(wharfoutcome.ReasonQuarantined).WithRetryAfter(left), false
	}
	return wharfoutcome.Outcome{}, true
}

// confinement bounds the targets that a request may run on until it is known to
// crash none.
func (s *sending) confinement() wharfrouting.Confinement {
	e, fp := s.entry, s.call.fingerprint
	suspicion, suspected := e.Quarantine.Suspicion(time.Now(), fp)
	if !suspected && e.harmless.Has(fp) {
		return wharfrouting.Confinement{}
	}
	return wharfrouting.Confinement{
		Fingerprint: uint64(fp),
		Crashed:     append(suspicion.Targets(), s.mayHaveCrashed...),
	}
}

// exonerate remembers that a request has run without harm.
func (e *Entry) exonerate(c *call) {
	e.harmless.Add(c.fingerprint)
	_, _ = e.Quarantine.Succeeded(time.Now(), c.fingerprint)
}
