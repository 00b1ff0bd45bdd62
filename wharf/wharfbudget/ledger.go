package wharfbudget

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const ledgerShards = 64

// GrantID identifies a grant in the ledger of the node that issued it.
type GrantID uint64

// ServedCall is the record of a call that a node's target is serving.
type ServedCall struct {
	Grant Grant
	// Deadline applies to the call and to all its downstream calls.
	Deadline time.Time
	// Request, Class and Depth are the request id, class and depth of the call.
	Request string
	Class   string
	Depth   int
	// Rank, Priority and Route are the rank, the priority (see
	// wharfadmission.Priority) and the route of the call.
	Rank     int
	Priority uint16
	Route    string
	// Account is the client account of the client request, empty if there is none.
	Account string
	// Repeats is true if a target may have received the request of the call before, so
	// that its downstream calls are repeats as well.
	Repeats bool
	// Retried reports whether a downstream call failed after a retry.
	Retried bool
	// DownstreamRefused reports whether a downstream call was refused or failed.
	// Then a refusal of this call is no evidence against its own target.
	DownstreamRefused bool
	// DownstreamTime is the time during which at least one downstream call was in
	// flight. downstreamCalls counts the calls in flight, and downstreamSince is
	// the time since which there has been at least one.
	DownstreamTime  time.Duration
	downstreamCalls int
	downstreamSince time.Time
	// LevelReduction is the distance from wharfadmission.LevelOpen of the lowest
	// admission level that the downstream calls have met. It is zero if that level
	// admits all requests.
	LevelReduction uint16
}

// Ledger holds the grants of the calls that a node's target is serving. An attempt
// under an unknown grant is refused, so a node that restarted and lost its
// ledger can't create attempts. The zero Ledger is ready to use. A Ledger is safe
// for concurrent use.
type Ledger struct {
	shards   [ledgerShards]ledgerShard
	requests [ledgerShards]requestShard
}

type ledgerShard struct {
	mu      sync.Mutex
	entries map[GrantID]ServedCall
}

// requestShard holds the grants of calls by request id.
type requestShard struct {
	mu     sync.Mutex
	grants map[string]GrantID
}

func (l *Ledger) shard(id GrantID) *ledgerShard {
	return &l.shards[uint64(id)%ledgerShards]
}

func (l *Ledger) requestShard(request string) *requestShard {
	return &l.requests[xxhash.Sum64String(request)%ledgerShards]
}

// Open stores the record of a call that starts.
func (l *Ledger) Open(id GrantID, e ServedCall) {
	r := l.requestShard(e.Request)
	r.mu.Lock()
	if r.grants == nil {
		r.grants = make(map[string]GrantID)
	}
	r.grants[e.Request] = id
	r.mu.Unlock()
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries == nil {
		s.entries = make(map[GrantID]ServedCall)
	}
	s.entries[id] = e
}

// Get returns the record of a call. It returns false if the call isn't being served.
func (l *Ledger) Get(id GrantID) (ServedCall, bool) {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	return e, ok
}

// Find returns the record of the call of a request that started last. It returns false
// if no call of the request is being served.
func (l *Ledger) Find(request string) (ServedCall, bool) {
	r := l.requestShard(request)
	r.mu.Lock()
	id, ok := r.grants[request]
	r.mu.Unlock()
	if !ok {
		return ServedCall{}, false
	}
	return l.Get(id)
}

// TakeAttempt takes one attempt from a grant and returns the number of attempts that it
// delegates. ok is false if the grant is unknown or has no attempts left.
func (l *Ledger) TakeAttempt(id GrantID) (delegated int, ok bool) {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, found := s.entries[id]
	if !found {
		return 0, false
	}
	e.Grant, delegated, ok = e.Grant.WithAttempt()
	s.entries[id] = e
	return delegated, ok
}

// Return adds the attempts that a response returned. It does nothing if the call
// has already ended, because Close has already returned its grant.
func (l *Ledger) Return(id GrantID, delegated, returned int) {
	l.update(id, func(e *ServedCall) { e.Grant = e.Grant.WithReturned(delegated, returned) })
}

// Refund adds an attempt that was never sent, and the attempts that it delegated.
// It does nothing if the call has already ended.
func (l *Ledger) Refund(id GrantID, delegated int) {
	l.update(id, func(e *ServedCall) { e.Grant = e.Grant.WithRefund(delegated) })
}

// MarkRepeated records that the request of a call was sent to its target again.
func (l *Ledger) MarkRepeated(id GrantID) {
	l.update(id, func(e *ServedCall) { e.Repeats = true })
}

// DownstreamResult is the result of a downstream call.
type DownstreamResult struct {
	Retried bool
	Refused bool
	// LevelReduction is the distance of the admission level from
	// wharfadmission.LevelOpen.
	LevelReduction uint16
}

// BeginDownstreamCall records the start of a downstream call.
func (l *Ledger) BeginDownstreamCall(now time.Time, id GrantID) {
	l.update(id, func(e *ServedCall) {
		if e.downstreamCalls == 0 {
			e.downstreamSince = now
		}
		e.downstreamCalls++
	})
}

// EndDownstreamCall records the end and the result of a downstream call.
func (l *Ledger) EndDownstreamCall(now time.Time, id GrantID, r DownstreamResult) {
	l.update(id, func(e *ServedCall) {
		e.downstreamCalls--
		if e.downstreamCalls == 0 {
			e.DownstreamTime += now.Sub(e.downstreamSince)
		}
		e.Retried = e.Retried || r.Retried
		e.DownstreamRefused = e.DownstreamRefused || r.Refused
		e.LevelReduction = max(e.LevelReduction, r.LevelReduction)
	})
}

// update changes the record of a call that has not ended.
func (l *Ledger) update(id GrantID, change func(e *ServedCall)) {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, found := s.entries[id]
	if !found {
		return
	}
	change(&e)
	s.entries[id] = e
}

// Close removes the record of a call and returns it. It returns a zero ServedCall if
// the call isn't being served.
func (l *Ledger) Close(id GrantID) ServedCall {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[id]
	delete(s.entries, id)
	r := l.requestShard(e.Request)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.grants[e.Request] == id {
		delete(r.grants, e.Request)
	}
	return e
}

// Len returns the number of calls being served.
func (l *Ledger) Len() int {
	n := 0
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		n += len(s.entries)
		s.mu.Unlock()
	}
	return n
}
