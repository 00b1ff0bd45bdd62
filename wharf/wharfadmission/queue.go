package wharfadmission

import "time"

// Ticket describes a request for a slot of a target.
type Ticket struct {
	ID   uint64
	Rank int
	// Depth is the number of hops that have already worked on the user request.
	Depth    int
	Priority Priority
	Arrived  time.Time
	Deadline time.Time
	// Objective is the latency objective, counted from the arrival: a response that
	// takes longer is worth less to the caller. Zero means that none is known.
	Objective time.Duration
	// Kind is the kind of work, see WorkKinds. Zero stands for all that have none of their own.
	Kind int
	// Account identifies the client account of the client request by a hash of its name, zero if
	// there is none. Excess is true for a request beyond the fair share of its account, which runs
	// after the others of its rank.
	Account uint32
	Excess  bool
}

// due returns the time at which the objective ends, or the deadline if there is no
// objective.
func (t Ticket) due() time.Time {
	if t.Objective == 0 {
		return t.Deadline
	}
	return t.Arrived.Add(t.Objective)
}

// Order is the order in which waiting requests run.
type Order uint8

// Orders of a queue.
const (
	// Adaptive is adaptive LIFO: requests of one class and depth run
	// first-in-first-out, but last-in-first-out while there is a standing queue
	// (see standingDelay), so that at least some requests are answered in time.
	Adaptive Order = iota
	// FIFO always runs requests of one class and depth first-in-first-out.
	FIFO
	// ObjectiveOrder runs, within a class, the request first whose objective ends first
	// (earliest due time first).
	ObjectiveOrder
	// PriorityOrder runs, within a class, the calls of one client request before those of
	// another, by their priorities, and of equal ones the call first whose objective ends first.
	// When more is admitted than the target can serve, some client requests then get all of
	// their calls, instead of each of them a part. It is for targets with Backpressure, which
	// rejects client requests and so keeps the queue short.
	PriorityOrder
	// ArrivalOrder ignores class and depth and drops the newest request. It is the
	// baseline for comparisons with the other orders.
	ArrivalOrder
)

// queue holds the waiting tickets. It is short, so a linear search is enough.
type queue struct {
	tickets []Ticket
}

func (q *queue) len() int {
	return len(q.tickets)
}

func (q *queue) push(t Ticket) {
	q.tickets = append(q.tickets, t)
}

// ranking compares waiting tickets by an order.
type ranking struct {
	order         Order
	standingQueue bool
}

// before reports whether a runs before b.
func (r ranking) before(a, b Ticket) bool {
	if r.order == ArrivalOrder {
		return a.Arrived.Before(b.Arrived)
	}
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if a.Excess != b.Excess {
		return b.Excess
	}
	if r.order == PriorityOrder && a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if r.order == PriorityOrder || r.order == ObjectiveOrder {
		return a.due().Before(b.due())
	}
	if a.Depth != b.Depth {
		return a.Depth > b.Depth
	}
	if r.order == Adaptive && r.standingQueue {
		return a.Arrived.After(b.Arrived)
	}
	return a.Arrived.Before(b.Arrived)
}

// first returns the index of the ticket that runs next, -1 if the queue is empty.
func (q *queue) first(r ranking) int {
	best := -1
	for i, t := range q.tickets {
		if best < 0 || r.before(t, q.tickets[best]) {
			best = i
		}
	}
	return best
}

// last returns the index of the ticket that is shed first, -1 if the queue is empty.
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

// workUpTo returns the sum of the work of the tickets of a rank and of the more important ranks.
func (q *queue) workUpTo(rank int, work func(kind int) float64) float64 {
	sum := 0.0
	for _, t := range q.tickets {
		if t.Rank <= rank {
			sum += work(t.Kind)
		}
	}
	return sum
}

// leastImportantRank returns the rank of the least important request in the queue,
// which is the largest rank number, or -1 if the queue is empty.
func (q *queue) leastImportantRank() int {
	rank := -1
	for _, t := range q.tickets {
		rank = max(rank, t.Rank)
	}
	return rank
}
