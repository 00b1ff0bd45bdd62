package wharfbudget

import (
	"sync"
	"time"
)

const ledgerShards = 64

// GrantID names a grant in the ledger of the node that issued it.
type GrantID uint64

// ServedCall is what a node remembers of a call that its target is serving.
type ServedCall struct {
	Grant Grant
	// Deadline ends the call and all that it calls.
	Deadline time.Time
	// Request, Class and Depth are those of the call being served.
	Request string
	Class   string
	Depth   int
	// Retried says that a call below failed after it was tried again.
	Retried bool
	// DownstreamRefused says that a call below was refused or failed, so that a
	// refusal of this call says nothing of its own target.
	DownstreamRefused bool
	// DownstreamTime is the time in which at least one call below was under way, and
	// downstreamCalls and downstreamSince describe the calls that are.
	DownstreamTime  time.Duration
	downstreamCalls int
	downstreamSince time.Time
	// LevelReduction is how far the lowest admission level that the calls below have
	// met is from an open one.
	LevelReduction uint16
}

// Ledger keeps the grants of the calls that a node's target is serving. A
// call made for an unknown grant is refused, so a node that lost its memory
// can't create attempts. The zero Ledger is ready to use.
type Ledger struct {
	shards [ledgerShards]ledgerShard
}

type ledgerShard struct {
	mu      sync.Mutex
	entries map[GrantID]ServedCall
}

func (l *Ledger) shard(id GrantID) *ledgerShard {
	return &l.shards[uint64(id)%ledgerShards]
}

// Open stores the entry of a call that starts.
func (l *Ledger) Open(id GrantID, e ServedCall) {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries == nil {
		s.entries = make(map[GrantID]ServedCall)
	}
	s.entries[id] = e
}

// Get returns the entry of a call that is being served.
func (l *Ledger) Get(id GrantID) (ServedCall, bool) {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	return e, ok
}

// Take spends one attempt of a grant and returns the part handed down.
func (l *Ledger) Take(id GrantID) (handedDown int, ok bool) {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, found := s.entries[id]
	if !found {
		return 0, false
	}
	e.Grant, handedDown, ok = e.Grant.WithAttempt()
	s.entries[id] = e
	return handedDown, ok
}

// Return gives back what an attempt did not use. Nothing happens if the call
// has already ended, because its grant was settled then.
func (l *Ledger) Return(id GrantID, handedDown, returned int) {
	l.update(id, func(e *ServedCall) { e.Grant = e.Grant.WithReturned(handedDown, returned) })
}

// Refund takes back an attempt that was never sent.
func (l *Ledger) Refund(id GrantID, handedDown int) {
	l.update(id, func(e *ServedCall) { e.Grant = e.Grant.WithRefund(handedDown) })
}

// DownstreamResult is what a call below has met.
type DownstreamResult struct {
	Retried bool
	Refused bool
	// LevelReduction is how far the admission level was from an open one.
	LevelReduction uint16
}

// CallBegins records that a call below is under way.
func (l *Ledger) CallBegins(now time.Time, id GrantID) {
	l.update(id, func(e *ServedCall) {
		if e.downstreamCalls == 0 {
			e.downstreamSince = now
		}
		e.downstreamCalls++
	})
}

// CallEnds records the end of a call below and what it has met.
func (l *Ledger) CallEnds(now time.Time, id GrantID, m DownstreamResult) {
	l.update(id, func(e *ServedCall) {
		e.downstreamCalls--
		if e.downstreamCalls == 0 {
			e.DownstreamTime += now.Sub(e.downstreamSince)
		}
		e.Retried = e.Retried || m.Retried
		e.DownstreamRefused = e.DownstreamRefused || m.Refused
		e.LevelReduction = max(e.LevelReduction, m.LevelReduction)
	})
}

// update changes the entry of a call that hasn't ended.
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

// Close ends a call and returns its last entry.
func (l *Ledger) Close(id GrantID) ServedCall {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[id]
	delete(s.entries, id)
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
