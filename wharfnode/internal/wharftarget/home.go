package wharftarget

import (
	"strconv"
	"sync"
	"time"

	"ragwortwharf.dev/wharf/wharfhome"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfwire"
)

// MintedKey returns the key of an attempt whose caller gave none. It belongs
// to the one node that the attempt is sent to.
func MintedKey(attempt uint64) wharfhome.KeyID {
	return wharfhome.KeyID{Key: strconv.FormatUint(attempt, 16)}
}

// claimKey makes sure that a request that isn't idempotent runs at most once.
func (s *Server) claimKey(c *call) (wharfoutcome.Outcome, bool) {
	if c.head.GetIdempotent() {
		return wharfoutcome.Outcome{}, true
	}
	c.keyed = true
	if c.head.GetKeyMinted() {
		c.key = MintedKey(c.head.GetAttemptId())
		return s.step(c, s.Keys.Begin(time.Now(), c.key, c.head.GetFingerprint(), 0))
	}
	c.key = wharfhome.KeyID{Service: c.head.GetService(), Caller: c.head.GetCaller(), Key: c.head.GetKey()}
	for {
		ended := s.joiners.await(c.key)
		plan := s.receiveKey(c)
		if plan.Step != wharfhome.Join {
			s.joiners.leave(c.key, ended)
			return s.step(c, s.consult(c, plan))
		}
		select {
		case <-ended:
		case <-c.ctx.Done():
			return wharfoutcome.Uncertain(wharfoutcome.ReasonDeadline), false
		}
	}
}

// receiveKey decides on a call with the caller's key.
func (s *Server) receiveKey(c *call) wharfhome.Plan {
	fingerprint := c.head.GetFingerprint()
	if s.View.State().Offset() < c.head.GetStateOffset() {
		return s.home().CatchUp(c.key, fingerprint)
	}
	return s.home().Receive(time.Now(), s.View.Homes(), c.key, fingerprint, s.View.Horizon())
}

func (s *Server) home() wharfhome.Home {
	return wharfhome.Home{Self: s.View.Self(), Keys: s.Keys}
}

// consult asks the earlier homes of a key that was taken.
func (s *Server) consult(c *call, plan wharfhome.Plan) wharfhome.Decision {
	if plan.Step != wharfhome.Take {
		return plan.Decision
	}
	for _, earlier := range plan.Consult {
		decision := s.ask(c, earlier)
		if decision.Step != wharfhome.Take {
			s.joiners.wake(c.key)
			return decision
		}
	}
	return plan.Decision
}

func (s *Server) ask(c *call, earlier wharfhome.Owner) wharfhome.Decision {
	entry, err := s.Consulter.Consult(c.ctx, earlier, c.key)
	if err != nil {
		return s.home().Unreachable(c.key)
	}
	return s.Keys.Learn(time.Now(), c.key, entry)
}

// step turns the decision of the home into the end of the filter.
func (s *Server) step(c *call, d wharfhome.Decision) (wharfoutcome.Outcome, bool) {
	switch d.Step {
	case wharfhome.Take:
		return wharfoutcome.Outcome{}, true
	case wharfhome.Replay:
		c.replay = d.Answer
		return wharfoutcome.Done(), false
	case wharfhome.Refuse:
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
	if s.home().MayDispatch(now, s.View.Homes(), c.key, s.View.Horizon()) {
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
func (s *Server) finishKey(c *call, o wharfoutcome.Outcome, answer *wharfhome.Answer) {
	if !c.keyed {
		return
	}
	switch o.Kind {
	case wharfoutcome.Completed:
		s.Keys.Finish(time.Now(), c.key, answer)
	case wharfoutcome.NotRun:
		s.Keys.Disclaim(c.key)
	default:
		s.Keys.Lose(time.Now(), c.key)
	}
	s.joiners.wake(c.key)
}

// joiners wakes the resends of a key when the request under way ends. The zero
// joiners is empty.
type joiners struct {
	mu      sync.Mutex
	waiting map[wharfhome.KeyID]*joinList
}

type joinList struct {
	ended chan struct{}
	count int
}

// await returns a channel that is closed when the key's request ends.
func (j *joiners) await(id wharfhome.KeyID) <-chan struct{} {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.waiting == nil {
		j.waiting = make(map[wharfhome.KeyID]*joinList)
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
func (j *joiners) leave(id wharfhome.KeyID, ended <-chan struct{}) {
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

func (j *joiners) wake(id wharfhome.KeyID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if l, ok := j.waiting[id]; ok {
		close(l.ended)
		delete(j.waiting, id)
	}
}

// packEntry returns the message form of an entry.
func packEntry(e wharfhome.Entry) *wharfwire.ConsultResponse {
	return &wharfwire.ConsultResponse{State: uint32(e.State), Fingerprint: e.Fingerprint, Answer: PackAnswer(e.Answer)}
}

// PackAnswer returns the message form of a kept answer.
func PackAnswer(a *wharfhome.Answer) *wharfwire.KeptAnswer {
	if a == nil {
		return nil
	}
	kept := &wharfwire.KeptAnswer{Status: int32(a.Status), Body: a.Body, Whole: a.Whole}
	for _, h := range a.Headers {
		kept.Headers = append(kept.Headers, &wharfwire.Header{Name: h.Name, Values: h.Values})
	}
	return kept
}

// UnpackAnswer reads the message form of a kept answer.
func UnpackAnswer(kept *wharfwire.KeptAnswer) *wharfhome.Answer {
	if kept == nil {
		return nil
	}
	return &wharfhome.Answer{
		Status: int(kept.GetStatus()), Headers: unpackHeaders(kept.GetHeaders()),
		Body: kept.GetBody(), Whole: kept.GetWhole(),
	}
}

func unpackHeaders(headers []*wharfwire.Header) []wharfhome.AnswerHeader {
	var out []wharfhome.AnswerHeader
	for _, h := range headers {
		out = append(out, wharfhome.AnswerHeader{Name: h.GetName(), Values: h.GetValues()})
	}
	return out
}
