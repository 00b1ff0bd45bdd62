package wharftarget

import (
	"time"

	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfrouting"
)

// suspectRetryAfter is the advice to the caller of a suspected request that was
// sent to a target which may not run it.
const suspectRetryAfter = time.Second

// checkQuarantine refuses a request that crashes targets, and one that may and
// was sent to more of them than it is allowed. Its sender did not know then.
func (s *Server) checkQuarantine(c *call) (wharfoutcome.Outcome, bool) {
	now := time.Now()
	if left, refused := s.Quarantine.Quarantined(now, c.fingerprint); refused {
		return wharfoutcome.Refuse(wharfoutcome.ReasonQuarantined).WithRetryAfter(left), false
	}
	suspicion, suspected := s.Quarantine.Suspicion(now, c.fingerprint)
	if !suspected || runsAtOwner(c) {
		return wharfoutcome.Outcome{}, true
	}
	confinement := wharfrouting.ExposureLimit{Fingerprint: uint64(c.fingerprint), Crashed: suspicion.Targets()}
	if confinement.Allows(s.View.Targets(c.head.GetService()), c.head.GetTarget()) {
		return wharfoutcome.Outcome{}, true
	}
	return wharfoutcome.Refuse(wharfoutcome.ReasonSuspected).WithRetryAfter(suspectRetryAfter), false
}

// runsAtOwner reports whether a call has one target only, the home of its key.
func runsAtOwner(c *call) bool {
	return !c.head.GetIdempotent() && !c.head.GetKeyMinted()
}
