package wharfproxy

import (
	"time"

	"ragwortwharf.dev/wharf/wharfoutcome"
)

// setDeadline decides when the request has to end: what the caller asks for,
// within what is configured and what is left of the call it is made for.
func (e *Proxy) setDeadline(c *call) (wharfoutcome.Outcome, bool) {
	timeout := c.policy.Timeout
	if c.hints.Timeout > 0 {
		timeout = min(c.hints.Timeout, c.policy.MaxTimeout)
	}
	c.deadline = c.started.Add(timeout)
	if !c.parent.Deadline.IsZero() && c.parent.Deadline.Before(c.deadline) {
		c.deadline = c.parent.Deadline
	}
	if !time.Now().Before(c.deadline) {
		return wharfoutcome.Refuse(wharfoutcome.ReasonDeadline), false
	}
	return wharfoutcome.Outcome{}, true
}
