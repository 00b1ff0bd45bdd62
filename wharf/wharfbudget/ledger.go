package wharfbudget

import (
	"sync"
	"time"
)

const ledgerShards = 64

// GrantID names a grant in the ledger of the node that issued it.
type GrantID uint64

// Entry is what a node remembers of a call that its target is serving.
type Entry struct {
	Grant Grant
	// Deadline ends the call and all that it calls.
	Deadline time.Time
	// Request, Class and Depth are those of the call being served.
	Request string
	Class   string
	Depth   int
	// Retried says that a call below failed after it was tried again.
	Retried bool
	// RefusedBelow says that a call below was refused or failed, so that a
	// refusal of this call says nothing of its own target.
	RefusedBelow bool
	// Below is the time in which at least one call below was under way, and
	// belowCalls and belowSince describe the calls that are.
	Below      time.Duration
	belowCalls int
	belowSince time.Time
	// Closed is how far the lowest admission level that the calls below have
	// met is from an open one.
	Closed uint16
}

// Ledger keeps the grants of the calls that a node's target is serving. A
// call made for an unknown grant is refused, so a node that lost its memory
// can't create attempts. The zero Ledger is ready to use.
type Ledger struct {
	shards [ledgerShards]ledgerShard
}

type ledgerShard struct {
	mu      sync.Mutex
	entries map[GrantID]Entry
}

func (l *Ledger) shard(id GrantID) *ledgerShard {
	return &l.shards[uint64(id)%ledgerShards]
}

// Open stores the entry of a call that starts.
func (l *Ledger) Open(id GrantID, e Entry) {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries == nil {
		s.entries = make(map[GrantID]Entry)
	}
	s.entries[id] = e
}

// Get returns the entry of a call that is being served.
func (l *Ledger) Get(id GrantID) (Entry, bool) {
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
	l.update(id, func(e *Entry) { e.Grant = e.Grant.WithReturned(handedDown, returned) })
}

// Undo takes back an attempt that was never sent.
func (l *Ledger) Undo(id GrantID, handedDown int) {
	l.update(id, func(e *Entry) { e.Grant = e.Grant.WithUndone(handedDown) })
}

// Met is what a call below has met.
type Met struct {
	Retried bool
	Refused bool
	// Closed is how far the admission level was from an open one.
	Closed uint16
}

// CallBegins records that a call below is under way.
func (l *Ledger) CallBegins(now time.Time, id GrantID) {
	l.update(id, func(e *Entry) {
		if e.belowCalls == 0 {
			e.belowSince = now
		}
		e.belowCalls++
	})
}

// CallEnds records the end of a call below and what it has met.
func (l *Ledger) CallEnds(now time.Time, id GrantID, m Met) {
	l.update(id, func(e *Entry) {
		e.belowCalls--
		if e.belowCalls == 0 {
			e.Below += now.Sub(e.belowSince)
		}
		e.Retried = e.Retried || m.Retried
		e.RefusedBelow = e.RefusedBelow || m.Refused
		e.Closed = max(e.Closed, m.Closed)
	})
}

// update changes the entry of a call that hasn't ended.
func (l *Ledger) update(id GrantID, change func(e *Entry)) {
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
func (l *Ledger) Close(id GrantID) Entry {
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
