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

// hardPause is how long an impatient caller waits before it sends again.
const hardPause = 20 * time.Millisecond

// userRequest is one request of a user, with all its sends.
type userRequest struct {
	generator *generator
	class     int
	number    int
	key       string
	tag       string
}

// run sends until an answer is whole, the sends are spent or time is over.
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
		pause := u.send(ctx, &r)
		r.sends++
		if !r.ok && r.sends <= g.plan.Resends {
			wharftimer.Sleep(ctx, pause)
		}
	}
	if !r.ok && ctx.Err() != nil {
		r.reason = "caller-timeout"
	}
	r.ended = time.Since(g.started)
	return r
}

// send makes one send and returns how long to wait before the next.
func (u *userRequest) send(ctx context.Context, r *result) time.Duration {
	response, err := u.generator.client.Do(u.request(ctx, r.sends))
	if err != nil {
		r.reason = "connection"
		return hardPause
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
		return hardPause
	}
	r.reason = response.Header.Get(wharfwire.HeaderReason)
	if r.reason == string(wharfoutcome.ReasonNone) {
		r.reason = "status-" + strconv.Itoa(response.StatusCode)
	}
	return u.pause(response)
}

func (u *userRequest) request(ctx context.Context, n int) *http.Request {
	g := u.generator
	c := g.plan.Classes[u.class]
	entry := g.plan.Entries[(u.number+n)%len(g.plan.Entries)]
	q, err := http.NewRequestWithContext(ctx, c.Method, entry+c.Path, bytes.NewReader(make([]byte, c.Bytes)))
	if err != nil {
		q = (&http.Request{Method: c.Method, Header: http.Header{}}).WithContext(ctx)
	}
	q.Header.Set(wharfwire.HeaderService, g.plan.Service)
	q.Header.Set(wharfwire.HeaderTimeout, strconv.FormatInt(g.plan.Timeout.Milliseconds(), 10))
	q.Header.Set(wharfwire.HeaderCaller, "load")
	q.Header.Set(wharftargetservice.HeaderTag, u.tag)
	if g.plan.Keys && c.Method != http.MethodGet {
		q.Header.Set(wharfwire.HeaderIdempotencyKey, u.key)
	}
	return q
}

// pause returns how long the caller waits: as advised if it is polite.
func (u *userRequest) pause(response *http.Response) time.Duration {
	ms, err := strconv.Atoi(response.Header.Get(wharfwire.HeaderRetryAfterMs))
	if !u.generator.plan.Polite || err != nil {
		return hardPause
	}
	return time.Duration(ms) * time.Millisecond
}
