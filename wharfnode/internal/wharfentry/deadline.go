package wharfentry

import (
	"time"

	"ragwortwharf.dev/wharf/wharfoutcome"
)

// setDeadline decides when the request has to end: what the caller asks for,
// within what is configured and what is left of the call it is made for.
func (e *Entry) setDeadline(c *call) (wharfoutcome.Outcome, bool) {
	timeout := c.policy.Timeout
	if c.said.Timeout > 0 {
		timeout = min(c.said.Timeout, c.policy.MaxTimeout)
	}
	c.deadline = c.started.Add(timeout)
	if !c.served.Deadline.IsZero() && c.served.Deadline.Before(c.deadline) {
		c.deadline = c.served.Deadline
	}
	if !time.Now().Before(c.deadline) {
		return wharfoutcome.Refuse(wharfoutcome.ReasonDeadline), false
	}
	return wharfoutcome.Outcome{}, true
}
