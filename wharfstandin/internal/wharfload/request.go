package wharfload

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharftimer"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfstandin/internal/wharftargetservice"
)

// defaultResendDelay is how long a caller waits before a resend if it ignores
// the retry-after hint or the response has none.
const defaultResendDelay = 20 * time.Millisecond

// userRequest is one request of a user, which the caller may send several times.
type userRequest struct {
	generator *generator
	class     int // index in Plan.Classes
	number    int // counts the user requests of the run from 0
	key       string
	tag       string
}

// run sends the request until the caller gets a complete response, no resends
// are left, or the timeout has passed.
func (u *userRequest) run(ctx context.Context) result {
	g := u.generator
	r := result{class: u.class, started: time.Since(g.started)}
	ctx, cancel := context.WithTimeout(ctx, g.plan.Timeout)
	defer cancel()
	u.tag = fmt.Sprint("t", u.number)
	if id, err := uuid.NewV7(); err == nil {
		u.key = id.String()
	}
	for r.sends <= g.plan.Resends && !r.ok && ctx.Err() == nil {
		delay := u.send(ctx, &r)
		r.sends++
		if !r.ok && r.sends <= g.plan.Resends {
			wharftimer.Sleep(ctx, delay)
		}
	}
	if !r.ok && ctx.Err() != nil {
		r.reason = "caller-timeout"
	}
	r.ended = time.Since(g.started)
	return r
}

// send sends the request once, records the outcome in r, and returns how long
// to wait before the next send.
func (u *userRequest) send(ctx context.Context, r *result) time.Duration {
	response, err := u.generator.client.Do(u.newRequest(ctx, r.sends))
	if err != nil {
		r.reason = "connection"
		return defaultResendDelay
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if response.StatusCode == http.StatusOK {
		r.ok = err == nil && wharftargetservice.IsComplete(body, u.tag)
		if !r.ok {
			r.reason = "answer-broken"
		}
		if err == nil && !r.ok {
			r.foreign++
		}
		return defaultResendDelay
	}
	r.reason = response.Header.Get(wharfwire.HeaderReason)
	if r.reason == string(wharfoutcome.ReasonNone) {
		r.reason = "status-" + strconv.Itoa(response.StatusCode)
	}
	return u.resendDelay(response)
}

// newRequest returns the HTTP request for the nth send, from 0. Each resend goes
// to the next node. A request that can't be built fails when it is sent.
func (u *userRequest) newRequest(ctx context.Context, n int) *http.Request {
	g := u.generator
	c := g.plan.Classes[u.class]
	callerURL := g.plan.CallerURLs[(u.number+n)%len(g.plan.CallerURLs)]
	req, err := http.NewRequestWithContext(ctx, c.Method, callerURL+c.Path, bytes.NewReader(make([]byte, c.Bytes)))
	if err != nil {
		req = (&http.Request{Method: c.Method, Header: http.Header{}}).WithContext(ctx)
	}
	req.Header.Set(wharfwire.HeaderService, g.plan.Service)
	req.Header.Set(wharfwire.HeaderTimeout, strconv.FormatInt(g.plan.Timeout.Milliseconds(), 10))
	req.Header.Set(wharfwire.HeaderCaller, "load")
	req.Header.Set(wharftargetservice.HeaderTag, u.tag)
	if g.plan.Keys && c.Method != http.MethodGet {
		req.Header.Set(wharfwire.HeaderIdempotencyKey, u.key)
	}
	return req
}

// resendDelay returns how long the caller waits after a failed send: the time
// of the retry-after hint if the plan sets HonorRetryAfter and the response has
// a hint, else defaultResendDelay.
func (u *userRequest) resendDelay(response *http.Response) time.Duration {
	ms, err := strconv.Atoi(response.Header.Get(wharfwire.HeaderRetryAfterMs))
	if !u.generator.plan.HonorRetryAfter || err != nil {
		return defaultResendDelay
	}
	return time.Duration(ms) * time.Millisecond
}
