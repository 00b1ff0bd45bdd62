package wharfadmission

import "time"

// Ticket is a request that asks for a slot of a target.
type Ticket struct {
	ID   uint64
	Rank int
	// Depth is the number of hops that have already worked for the request.
	Depth    int
	Priority Priority
	Arrived  time.Time
	Deadline time.Time
	// Objective is the time from the arrival in which an answer has its full
	// value, zero if none is known.
	Objective time.Duration
}

// due returns when an answer loses a part of its value.
func (t Ticket) due() time.Time {
	if t.Objective == 0 {
		return t.Deadline
	}
	return t.Arrived.Add(t.Objective)
}

// Order says which of two waiting requests of one class and depth goes first.
type Order uint8

// Orders of a queue.
const (
	// Adaptive is first-in-first-out, and last-in-first-out while the queue
	// stands, so that at least some requests are answered in time.
	Adaptive Order = iota
	// FIFO is first-in-first-out at all times.
	FIFO
	// Objective runs first, within a class, what loses a part of its value first.
	// It is for targets whose fresh work is held back by Backpressure, so that
	// the queue stays short.
	Objective
	// Arrival ignores class and depth and drops the newest request. It is the
	// baseline that the other orders are measured against.
	Arrival
)

// queue holds waiting tickets. It is short, so it is searched in a line.
type queue struct {
	tickets []Ticket
}

func (q *queue) len() int {
	return len(q.tickets)
}

func (q *queue) push(t Ticket) {
	q.tickets = append(q.tickets, t)
}

// ranking compares waiting tickets under an order.
type ranking struct {
	order    Order
	standing bool
}

// before reports whether a runs earlier than b.
func (r ranking) before(a, b Ticket) bool {
	if r.order == Arrival {
		return a.Arrived.Before(b.Arrived)
	}
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if r.order == Objective {
		return a.due().Before(b.due())
	}
	if a.Depth != b.Depth {
		return a.Depth > b.Depth
	}
	if r.order == Adaptive && r.standing {
		return a.Arrived.After(b.Arrived)
	}
	return a.Arrived.Before(b.Arrived)
}

// first returns the index of the ticket that runs next, -1 if none waits.
func (q *queue) first(r ranking) int {
	best := -1
	for i, t := range q.tickets {
		if best < 0 || r.before(t, q.tickets[best]) {
			best = i
		}
	}
	return best
}

// last returns the index of the least important ticket, -1 if none waits.
func (q *queue) last(r ranking) int {
	worst := -1
	for i, t := range q.tickets {
		if worst < 0 || !r.before(t, q.tickets[worst]) {
			worst = i
		}
	}
	return worst
}

func (q *queue) remove(i int) Ticket {
	t := q.tickets[i]
	end := len(q.tickets) - 1
	q.tickets[i] = q.tickets[end]
	q.tickets = q.tickets[:end]
	return t
}

func (q *queue) removeID(id uint64) bool {
	for i, t := range q.tickets {
		if t.ID == id {
			q.remove(i)
			return true
		}
	}
	return false
}

// lowestRank returns the largest rank that waits, -1 if none waits.
func (q *queue) lowestRank() int {
	rank := -1
	for _, t := range q.tickets {
		rank = max(rank, t.Rank)
	}
	return rank
}
