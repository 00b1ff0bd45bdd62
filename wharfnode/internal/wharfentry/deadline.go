package wharfentry

import (
	"strconv"
	"time"

	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfwire"
)

// setDeadline decides when the request has to end: what the caller asks for,
// within what is configured and what is left of the call it is made for.
func (e *Entry) setDeadline(c *call) (wharfoutcome.Outcome, bool) {
	timeout := c.policy.Timeout
	if text := c.r.Header.Get(wharfwire.HeaderTimeout); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms <= 0 {
			return wharfoutcome.Refuse(wharfoutcome.ReasonMalformedTimeout), false
		}
		timeout = min(time.Duration(ms)*time.Millisecond, c.policy.MaxTimeout)
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
