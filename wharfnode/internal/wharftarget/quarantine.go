package wharftarget

import (
	"time"

	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfrouting"
)

// suspectRetryAfter is the retry-after hint for a suspected request that was sent to
// a target on which its exposure limit doesn't allow it to run.
const suspectRetryAfter = time.Second

// checkQuarantine refuses a quarantined request. It also refuses a suspected request
// if its exposure limit, the bound on the targets that it may run on, excludes the
// target. This happens when the sender did not know of the suspicion.
func (s *Server) checkQuarantine(c *call) (wharfoutcome.Outcome, bool) {
	if o, pass := s.checkQuarantined(c); !pass {
		return o, false
	}
	suspicion, suspected := s.Quarantine.Suspicion(time.Now(), c.fingerprint)
	if !suspected || runsAtOwner(c) {
		return wharfoutcome.Outcome{}, true
	}
	exposure := wharfrouting.ExposureLimit{Fingerprint: uint64(c.fingerprint), Crashed: suspicion.Targets()}
	if exposure.Allows(s.View.Targets(c.head.GetService()), c.head.GetTarget()) {
		return wharfoutcome.Outcome{}, true
	}
	return wharfoutcome.Refuse(wharfoutcome.ReasonSuspected).WithRetryAfter(suspectRetryAfter), false
}

// checkQuarantined refuses a quarantined request.
func (s *Server) checkQuarantined(c *call) (wharfoutcome.Outcome, bool) {
	if remaining, quarantined := s.Quarantine.Quarantined(time.Now(), c.fingerprint); quarantined {
		return wharfoutcome.Refuse(wharfoutcome.ReasonQuarantined).WithRetryAfter(remaining), false
	}
	return wharfoutcome.Outcome{}, true
}

// runsAtOwner reports whether a call can run on one node only, the owner of its key.
func runsAtOwner(c *call) bool {
	return !c.head.GetIdempotent() && !c.head.GetKeyMinted()
}
