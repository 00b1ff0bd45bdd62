package wharftarget

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"ragwortwharf.dev/wharf/wharfidempotency"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfwire"
)

// GeneratedKey returns the key of an attempt whose caller sent no idempotency key.
// The key is owned by the one node that the attempt is sent to.
func GeneratedKey(attempt uint64) wharfidempotency.KeyID {
	return wharfidempotency.KeyID{Key: strconv.FormatUint(attempt, 16)}
}

// claimKey makes sure that a request that isn't idempotent runs at most once. If a
// request with the same key is in progress, claimKey waits for its end.
func (s *Server) claimKey(c *call) (wharfoutcome.Outcome, bool) {
	if c.head.GetIdempotent() {
		return wharfoutcome.Outcome{}, true
	}
	c.keyed = true
	if c.head.GetKeyMinted() {
		c.key = GeneratedKey(c.head.GetAttemptId())
		return s.applyDecision(c, s.Keys.Begin(time.Now(), c.key, c.head.GetFingerprint(), 0))
	}
	c.key = wharfidempotency.KeyID{Service: c.head.GetService(), Caller: c.head.GetCaller(), Key: c.head.GetKey()}
	ctx, cancel := context.WithDeadline(c.ctx, c.deadline)
	defer cancel()
	for {
		// Waiting starts before the decision, so that no wake-up is missed.
		done := s.joiners.await(c.key)
		plan := s.decideKey(c)
		if plan.Action != wharfidempotency.Join {
			s.joiners.leave(c.key, done)
			return s.applyDecision(c, s.consultPreviousOwners(ctx, c, plan))
		}
		select {
		case <-done:
		case <-ctx.Done():
			s.joiners.leave(c.key, done)
			return wharfoutcome.Uncertain(wharfoutcome.ReasonDeadline), false
		}
	}
}

// decideKey decides on a call with a caller's key. If the sender has read more of the
// platform's log than this node, this node can't know whether it still owns the key.
func (s *Server) decideKey(c *call) wharfidempotency.Plan {
	fingerprint := c.head.GetFingerprint()
	if s.View.State().Offset() < c.head.GetStateOffset() {
		return s.deduplicator().DecideStale(c.key, fingerprint)
	}
	return s.deduplicator().Decide(time.Now(), s.View.Ownership(), c.key, fingerprint, s.View.DedupWindow())
}

// deduplicator returns the deduplicator for the current incarnation of this node.
func (s *Server) deduplicator() wharfidempotency.Deduplicator {
	return wharfidempotency.Deduplicator{Self: s.View.Self(), Keys: s.Keys}
}

// consultPreviousOwners asks the previous owners of a key that is new to this node.
// The first one that knows of a dispatch of the key, or can't be reached, decides.
func (s *Server) consultPreviousOwners(ctx context.Context, c *call, plan wharfidempotency.Plan) wharfidempotency.Decision {
	if plan.Action != wharfidempotency.Proceed {
		return plan.Decision
	}
	for _, owner := range plan.PreviousOwners {
		decision := s.askPreviousOwner(ctx, c, owner)
		if decision.Action != wharfidempotency.Proceed {
			s.joiners.wake(c.key)
			return decision
		}
	}
	return plan.Decision
}

// askPreviousOwner asks one previous owner for its entry of the key of the call. The
// previous owner closes the key if it has dispatched no request with it.
func (s *Server) askPreviousOwner(ctx context.Context, c *call, owner wharfidempotency.Owner) wharfidempotency.Decision {
	entry, err := s.Consulter.Consult(ctx, owner, c.key)
	if err != nil {
		return s.deduplicator().AbortUnreachable(c.key)
	}
	return s.Keys.MergePrevious(time.Now(), c.key, entry)
}

// applyDecision converts the owner's decision on a key into the result of the filter.
func (s *Server) applyDecision(c *call, d wharfidempotency.Decision) (wharfoutcome.Outcome, bool) {
	switch d.Action {
	case wharfidempotency.Proceed:
		return wharfoutcome.Outcome{}, true
	case wharfidempotency.Replay:
		c.replay = d.Response
		return wharfoutcome.Done(), false
	case wharfidempotency.Refuse:
		return d.Outcome, false
	default:
		// The action is Join. claimKey handles it for a caller's key, so the key is a
		// generated one. Each attempt has its own generated key and is sent once, so
		// another request with the key is not expected.
		return wharfoutcome.Uncertain(wharfoutcome.ReasonResponseLost), false
	}
}

// tryDispatchKey moves the key of the call to running, right before the request is
// sent. It returns false and the outcome if the key was closed or if it is not certain
// that this node still owns it. It returns true for a call without a key.
func (s *Server) tryDispatchKey(c *call) (wharfoutcome.Outcome, bool) {
	if !c.keyed {
		return wharfoutcome.Outcome{}, true
	}
	now := time.Now()
	if c.head.GetKeyMinted() {
		if s.Keys.Dispatch(now, c.key) {
			return wharfoutcome.Outcome{}, true
		}
		return wharfoutcome.Refuse(wharfoutcome.ReasonKeyClosed), false
	}
	if s.deduplicator().TryDispatch(now, s.View.Ownership(), c.key, s.View.DedupWindow()) {
		return wharfoutcome.Outcome{}, true
	}
	s.joiners.wake(c.key)
	return wharfoutcome.Refuse(wharfoutcome.ReasonOwnerMoved), false
}

// abandonKey drops the key of a call that was refused before its dispatch.
func (s *Server) abandonKey(c *call) {
	if c.keyed {
		s.Keys.Abandon(c.key)
		s.joiners.wake(c.key)
	}
}

// finishKey records how a dispatched call ended.
func (s *Server) finishKey(c *call, o wharfoutcome.Outcome, response *wharfidempotency.Response) {
	if !c.keyed {
		return
	}
	switch o.Kind {
	case wharfoutcome.Completed:
		s.Keys.Finish(time.Now(), c.key, response)
	case wharfoutcome.NotRun:
		s.Keys.Rollback(c.key)
	default:
		s.Keys.MarkLost(time.Now(), c.key)
	}
	s.joiners.wake(c.key)
}

// joiners wakes the resends of a key when the request in progress ends. The zero
// joiners is empty. It is safe for concurrent use.
type joiners struct {
	mu      sync.Mutex
	waiting map[wharfidempotency.KeyID]*joinGroup
}

// joinGroup is the group of resends that wait for one key. done is closed when the
// request in progress ends.
type joinGroup struct {
	done  chan struct{}
	count int
}

// await adds a waiter for a key. It returns a channel that is closed when the request
// with the key ends.
func (j *joiners) await(id wharfidempotency.KeyID) <-chan struct{} {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.waiting == nil {
		j.waiting = make(map[wharfidempotency.KeyID]*joinGroup)
	}
	l, ok := j.waiting[id]
	if !ok {
		l = &joinGroup{done: make(chan struct{})}
		j.waiting[id] = l
	}
	l.count++
	return l.done
}

// leave removes a waiter whose channel await returned.
func (j *joiners) leave(id wharfidempotency.KeyID, done <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	l, ok := j.waiting[id]
	if !ok || l.done != done {
		return
	}
	l.count--
	if l.count == 0 {
		delete(j.waiting, id)
	}
}

// wake wakes all waiters of a key.
func (j *joiners) wake(id wharfidempotency.KeyID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if l, ok := j.waiting[id]; ok {
		close(l.done)
		delete(j.waiting, id)
	}
}

// packKeyEntry returns the message form of a key entry.
func packKeyEntry(e wharfidempotency.KeyEntry) *wharfwire.ConsultResponse {
	return &wharfwire.ConsultResponse{State: uint32(e.State), Fingerprint: e.Fingerprint, Answer: PackResponse(e.Response)}
}

// PackResponse returns the message form of a stored response. It returns nil for nil.
func PackResponse(r *wharfidempotency.Response) *wharfwire.KeptAnswer {
	if r == nil {
		return nil
	}
	stored := &wharfwire.KeptAnswer{Status: int32(r.Status), Body: r.Body, Whole: r.Complete}
	for _, h := range r.Headers {
		stored.Headers = append(stored.Headers, &wharfwire.Header{Name: h.Name, Values: h.Values})
	}
	return stored
}

// UnpackResponse returns the stored response of a message. It returns nil for nil.
func UnpackResponse(stored *wharfwire.KeptAnswer) *wharfidempotency.Response {
	if stored == nil {
		return nil
	}
	r := &wharfidempotency.Response{Status: int(stored.GetStatus()), Body: stored.GetBody(), Complete: stored.GetWhole()}
	for _, h := range stored.GetHeaders() {
		r.Headers = append(r.Headers, wharfidempotency.ResponseHeader{Name: h.GetName(), Values: h.GetValues()})
	}
	return r
}

// packHeaders returns the headers of a response in the form in which they are stored.
func packHeaders(headers http.Header) []wharfidempotency.ResponseHeader {
	var out []wharfidempotency.ResponseHeader
	for name, values := range headers {
		out = append(out, wharfidempotency.ResponseHeader{Name: name, Values: values})
	}
	return out
}

// unpackHeaders returns stored headers as those of a response.
func unpackHeaders(stored []wharfidempotency.ResponseHeader) http.Header {
	out := make(http.Header, len(stored))
	for _, h := range stored {
		out[h.Name] = h.Values
	}
	return out
}
