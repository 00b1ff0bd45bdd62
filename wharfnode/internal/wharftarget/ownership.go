package wharftarget

import (
	"strconv"
	"sync"
	"time"

	"ragwortwharf.dev/wharf/wharfidempotency"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfwire"
)

// GeneratedKey returns the key of an attempt whose caller gave none. It belongs
// to the one node that the attempt is sent to.
func GeneratedKey(attempt uint64) wharfidempotency.KeyID {
	return wharfidempotency.KeyID{Key: strconv.FormatUint(attempt, 16)}
}

// claimKey makes sure that a request that isn't idempotent runs at most once.
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
	for {
		ended := s.joiners.await(c.key)
		plan := s.receiveKey(c)
		if plan.Action != wharfidempotency.Join {
			s.joiners.leave(c.key, ended)
			return s.applyDecision(c, s.consult(c, plan))
		}
		select {
		case <-ended:
		case <-c.ctx.Done():
			return wharfoutcome.Uncertain(wharfoutcome.ReasonDeadline), false
		}
	}
}

// receiveKey decides on a call with the caller's key.
func (s *Server) receiveKey(c *call) wharfidempotency.Plan {
	fingerprint := c.head.GetFingerprint()
	if s.View.State().Offset() < c.head.GetStateOffset() {
		return s.deduplicator().DecideStale(c.key, fingerprint)
	}
	return s.deduplicator().Decide(time.Now(), s.View.Ownership(), c.key, fingerprint, s.View.DedupWindow())
}

func (s *Server) deduplicator() wharfidempotency.Deduplicator {
	return wharfidempotency.Deduplicator{Self: s.View.Self(), Keys: s.Keys}
}

// consult asks the earlier homes of a key that was taken.
func (s *Server) consult(c *call, plan wharfidempotency.Plan) wharfidempotency.Decision {
	if plan.Action != wharfidempotency.Proceed {
		return plan.Decision
	}
	for _, earlier := range plan.PreviousOwners {
		decision := s.askPreviousOwner(c, earlier)
		if decision.Action != wharfidempotency.Proceed {
			s.joiners.wake(c.key)
			return decision
		}
	}
	return plan.Decision
}

func (s *Server) askPreviousOwner(c *call, earlier wharfidempotency.Owner) wharfidempotency.Decision {
	entry, err := s.Consulter.Consult(c.ctx, earlier, c.key)
	if err != nil {
		return s.deduplicator().PreviousUnreachable(c.key)
	}
	return s.Keys.MergePrevious(time.Now(), c.key, entry)
}

// applyDecision turns the decision of the home into the end of the filter.
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
		// A minted key is sent once, so nobody can join it.
		return wharfoutcome.Uncertain(wharfoutcome.ReasonAnswerLost), false
	}
}

// mayDispatch is the last check before the target gets the request.
func (s *Server) mayDispatch(c *call) (wharfoutcome.Outcome, bool) {
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
	return wharfoutcome.Refuse(wharfoutcome.ReasonHomeMoved), false
}

// abandonKey forgets the key of a call that was refused before its dispatch.
func (s *Server) abandonKey(c *call) {
	if c.keyed {
		s.Keys.Abandon(c.key)
		s.joiners.wake(c.key)
	}
}

// finishKey records how a dispatched call ended.
func (s *Server) finishKey(c *call, o wharfoutcome.Outcome, answer *wharfidempotency.Response) {
	if !c.keyed {
		return
	}
	switch o.Kind {
	case wharfoutcome.Completed:
		s.Keys.Finish(time.Now(), c.key, answer)
	case wharfoutcome.NotRun:
		s.Keys.Rollback(c.key)
	default:
		s.Keys.MarkLost(time.Now(), c.key)
	}
	s.joiners.wake(c.key)
}

// joiners wakes the resends of a key when the request under way ends. The zero
// joiners is empty.
type joiners struct {
	mu      sync.Mutex
	waiting map[wharfidempotency.KeyID]*joinList
}

type joinList struct {
	ended chan struct{}
	count int
}

// await returns a channel that is closed when the key's request ends.
func (j *joiners) await(id wharfidempotency.KeyID) <-chan struct{} {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.waiting == nil {
		j.waiting = make(map[wharfidempotency.KeyID]*joinList)
	}
	l, ok := j.waiting[id]
	if !ok {
		l = &joinList{ended: make(chan struct{})}
		j.waiting[id] = l
	}
	l.count++
	return l.ended
}

// leave gives up waiting.
func (j *joiners) leave(id wharfidempotency.KeyID, ended <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	l, ok := j.waiting[id]
	if !ok || l.ended != ended {
		return
	}
	l.count--
	if l.count == 0 {
		delete(j.waiting, id)
	}
}

func (j *joiners) wake(id wharfidempotency.KeyID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if l, ok := j.waiting[id]; ok {
		close(l.ended)
		delete(j.waiting, id)
	}
}

// packEntry returns the message form of an entry.
func packEntry(e wharfidempotency.KeyEntry) *wharfwire.ConsultResponse {
	return &wharfwire.ConsultResponse{State: uint32(e.State), Fingerprint: e.Fingerprint, Answer: PackResponse(e.Response)}
}

// PackResponse returns the message form of a kept answer.
func PackResponse(a *wharfidempotency.Response) *wharfwire.KeptAnswer {
	if a == nil {
		return nil
	}
	kept := &wharfwire.KeptAnswer{Status: int32(a.Status), Body: a.Body, Whole: a.Complete}
	for _, h := range a.Headers {
		kept.Headers = append(kept.Headers, &wharfwire.Header{Name: h.Name, Values: h.Values})
	}
	return kept
}

// UnpackResponse reads the message form of a kept answer.
func UnpackResponse(kept *wharfwire.KeptAnswer) *wharfidempotency.Response {
	if kept == nil {
		return nil
	}
	return &wharfidempotency.Response{
		Status: int(kept.GetStatus()), Headers: unpackHeaders(kept.GetHeaders()),
		Body: kept.GetBody(), Complete: kept.GetWhole(),
	}
}

func unpackHeaders(headers []*wharfwire.Header) []wharfidempotency.ResponseHeader {
	var out []wharfidempotency.ResponseHeader
	for _, h := range headers {
		out = append(out, wharfidempotency.ResponseHeader{Name: h.GetName(), Values: h.GetValues()})
	}
	return out
}
