package wharftarget

import (
	"time"

	"ragwortwharf.dev/wharf/wharfoutcome"
)

// checkDeadline refuses a call whose time is over.
func (s *Server) checkDeadline(c *call) (wharfoutcome.Outcome, bool) {
	if !time.Now().Before(c.deadline) {
		return wharfoutcome.Refuse(wharfoutcome.ReasonDeadline), false
	}
	return wharfoutcome.Outcome{}, true
}
