package wharftarget

import (
	"time"

	"ragwortwharf.dev/wharf/wharfoutcome"
)

// checkQuarantine refuses a request that crashes targets.
func (s *Server) checkQuarantine(c *call) (wharfoutcome.Outcome, bool) {
	left, refused := s.Quarantine.Quarantined(time.Now(), c.fingerprint)
	if refused {
		return wharfoutcome.Refuse(wharfoutcome.ReasonQuarantined).WithRetryAfter(left), false
	}
	return wharfoutcome.Outcome{}, true
}
