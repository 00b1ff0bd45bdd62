package wharftarget

import (
	"time"

	"ragwortwharf.dev/wharf/wharfoutcome"
)

// checkDeadline refuses a call whose deadline has passed.
func (s *Server) checkDeadline(c *call) (wharfoutcome.Outcome, bool) {
	if !time.Now().Before(c.deadline) {
		return wharfoutcome.Refuse(wharfoutcome.ReasonDeadline), false
	}
	return wharfoutcome.Outcome{}, true
}
