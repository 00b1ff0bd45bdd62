package wharfbudget

import (
	"math"
	"sync/atomic"
)

// Holder names what a node holds in memory for others.
type Holder int

// Holders. The bytes of connections are those of idle ones; what their requests need is
// counted with the other holders.
const (
	CallerConnections Holder = iota
	NodeConnections
	// ReceiveBuffers are what the kernel may receive ahead of large requests.
	ReceiveBuffers
	// IncomingHeads are heads of callers' requests that are being read.
	IncomingHeads
	// Heads and Bodies belong to requests of callers that wait or are in flight, and
	// Responses to responses on the way to them.
	Heads
	Bodies
	Responses
	// NodeCalls are calls of other nodes that wait or are in flight.
	NodeCalls
	holderCount
)

// holderNames are the names of the holders in metrics and events.
var holderNames = [holderCount]string{
	"caller-connections", "node-connections", "receive-buffers", "incoming-heads", "heads", "bodies", "responses", "node-calls",
}

// String returns the name of the holder.
func (h Holder) String() string { return holderNames[h] }

// Holders returns all holders.
func Holders() []Holder {
	all := make([]Holder, holderCount)
	for i := range all {
		all[i] = Holder(i)
	}
	return all
}

// ofRequests reports whether the holder holds what requests need while they wait or are in
// flight.
func (h Holder) ofRequests() bool { return h >= Heads }

const (
	// minRequestShare is the share of the limit that requests may use, however many
	// connections there are.
	minRequestShare = 0.375
	// rankStep is the share of the room of requests that a rank may use less than the one
	// above it, and minRankShare what the last ranks may use.
	rankStep     = 0.05
	minRankShare = 0.5
)

// Memory counts the bytes that a node holds for others. The zero Memory has no limit. It
// is safe for concurrent use.
type Memory struct {
	limit atomic.Int64
	held  [holderCount]atomic.Int64
	// requests is the sum of those that are ofRequests.
	requests atomic.Int64
}

// SetLimit sets how many bytes may be held, zero for no limit. What is held remains.
func (m *Memory) SetLimit(bytes int64) {
	m.limit.Store(bytes)
}

// Left returns how many more bytes the requests of a rank may hold, negative if they hold
// too many.
func (m *Memory) Left(rank int) int64 {
	return m.room(rank) - m.requests.Load()
}

// room returns how many bytes requests may hold for one of a rank to be admitted. The most
// important rank may use all that connections leave.
func (m *Memory) room(rank int) int64 {
	limit := m.limit.Load()
	if limit == 0 {
		return math.MaxInt64
	}
	room := max(limit-m.Held(CallerConnections)-m.Held(NodeConnections), int64(minRequestShare*float64(limit)))
	return int64(max(1-rankStep*float64(rank), minRankShare) * float64(room))
}

// Reserve counts bytes that a request of a rank is going to need, if it may have them.
func (m *Memory) Reserve(h Holder, rank int, bytes int64) bool {
	room := m.room(rank)
	for {
		held := m.requests.Load()
		if bytes > room-held {
			return false
		}
		if m.requests.CompareAndSwap(held, held+bytes) {
			m.held[h].Add(bytes)
			return true
		}
	}
}

// Hold counts bytes that are held in any case.
func (m *Memory) Hold(h Holder, bytes int64) {
	m.held[h].Add(bytes)
	if h.ofRequests() {
		m.requests.Add(bytes)
	}
}

// Release ends the holding of bytes.
func (m *Memory) Release(h Holder, bytes int64) {
	m.Hold(h, -bytes)
}

// Held returns the bytes that a holder holds.
func (m *Memory) Held(h Holder) int64 {
	return m.held[h].Load()
}
