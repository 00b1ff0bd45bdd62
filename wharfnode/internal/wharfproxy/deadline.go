package wharfproxy

import (
	"time"

	"ragwortwharf.dev/wharf/wharfoutcome"
)

// setDeadline sets the deadline of the request: the timeout that the caller asks
// for, up to the configured maximum, or else the configured timeout. The
// deadline is never later than that of the parent call.
func (p *Proxy) setDeadline(c *call) (wharfoutcome.Outcome, bool) {
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
