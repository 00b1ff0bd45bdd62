package wharfbudget

import "time"

// RepeatLimit bounds the repeated requests for a service, summed over all nodes, in
// any window. A repeated request is sent to a target although an earlier attempt of
// it has already reached a target.
type RepeatLimit struct {
	// Ratio is the largest share of the requests for a service that may be repeated.
	Ratio float64
	// Slack is the number of further repeated requests, for all nodes together.
	Slack int
	// Window is the time over which requests and repeated requests are counted.
	Window time.Duration
}

// spanLength returns the length of a span, in nanoseconds.
func (l RepeatLimit) spanLength() int64 {
	return max(int64(l.Window/spansPerWindow), 1)
}

const (
	// spansPerWindow is the number of equal parts in which a window is counted.
	spansPerWindow = 10
	// marginalShare is the share of the repeats of its rank that a marginal request may use.
	marginalShare = 0.8
	// paceAhead is the share of the repeats of a span that may be used at its begin.
	paceAhead = 0.2
	// pacedRanks is the number of ranks that leave repeats for each other.
	pacedRanks = 4
	// importantShare is the share of the paced repeats that is kept for the most important
	// rank.
	importantShare = 0.6
	// onsetTime is the time after the first repeat that is asked for in a window in which the most
	// important rank may use onsetShare of the repeats of the window regardless of the pace: the
	// requests that were in progress when a service began to refuse calls need fewer repeats to be
	// completed than those that follow.
	onsetTime  = 500 * time.Millisecond
	onsetShare = 0.1
)

// span holds the counts of one part of a window.
type span struct {
	number   int64
	requests int
	repeats  int
	// asked counts the repeats that each rank asked for. The last one stands for all ranks
	// that are less important.
	asked [pacedRanks]int
	// paced counts the repeats that AllowPaced has allowed.
	paced [pacedRanks]int
}

// RepeatCounter limits the repeated requests of one node for one service to the
// node's part of a RepeatLimit. It isn't safe for concurrent use; its owner must
// hold a lock. The zero RepeatCounter has counted nothing.
type RepeatCounter struct {
	// spans has one span more than a window, because the window begins within the
	// oldest span.
	spans [spansPerWindow + 1]span
	// askedFirst is the time of the first paced repeat that was asked for, and askedLast that of the
	// last one. atOnset counts the repeats that were allowed regardless of the pace.
	askedFirst, askedLast time.Time
	atOnset               int
}

// Request counts a request for the service.
func (r *RepeatCounter) Request(now time.Time, l RepeatLimit) {
	r.spanAt(now, l).requests++
}

// Allow counts a repeated request, or reports false if it would exceed the limit.
// Each node uses its own requests and an equal part of the slack, so that the sum
// over any number of nodes stays within the limit.
func (r *RepeatCounter) Allow(now time.Time, l RepeatLimit, nodes int) bool {
	current := r.spanAt(now, l)
	requests, repeats := r.count(current.number)
	allowed := l.Ratio*float64(requests) + float64(l.Slack)/float64(max(nodes, 1))
	if float64(repeats+1) > allowed {
		return false
	}
	current.repeats++
	return true
}

// Repeat counts a repeated request that another node has allowed.
func (r *RepeatCounter) Repeat(now time.Time, l RepeatLimit) {
	r.spanAt(now, l).repeats++
}

// AllowPaced counts a repeated request, or reports false if it would exceed the limit, which has
// no slack, or its pace, so that the repeats of a window last as long as the window. A marginal
// request leaves some to the others of its rank.
func (r *RepeatCounter) AllowPaced(now time.Time, l RepeatLimit, rank int, marginal bool) bool {
	current := r.spanAt(now, l)
	_, repeats := r.count(current.number)
	allowed := r.allowed(current.number, l)
	rank = min(max(rank, 0), pacedRanks-1)
	current.asked[rank]++
	if float64(repeats+1) > allowed {
		return false
	}
	if r.ask(now, l) && rank == 0 && float64(r.atOnset+1) <= onsetShare*allowed {
		r.atOnset++
		current.repeats++
		return true
	}
	used, limit := r.paced(current, rank, allowed/spansPerWindow)
	if marginal {
		limit *= marginalShare
	}
	if float64(used+1) > limit*elapsedShare(now, l) {
		return false
	}
	current.repeats++
	current.paced[rank]++
	return true
}

// ask records that a paced repeat is asked for, and reports whether the first one was asked for
// within onsetTime.
func (r *RepeatCounter) ask(now time.Time, l RepeatLimit) bool {
	if now.Sub(r.askedLast) > l.Window {
		r.askedFirst, r.atOnset = now, 0
	}
	r.askedLast = now
	return now.Sub(r.askedFirst) < onsetTime
}

// paced returns the repeats of a span that the ranks have used which share the limit of a rank,
// and this limit. pace is the limit of all ranks together. The most important rank gets
// importantShare of it and the others the rest, and more as far as that isn't asked for. Of the
// others, each rank leaves what the more important ones ask for.
func (r *RepeatCounter) paced(current *span, rank int, pace float64) (used int, limit float64) {
	asked := r.asked(current.number)
	if rank == 0 {
		return current.paced[0], pace - min(float64(sum(asked[1:])), (1-importantShare)*pace)
	}
	limit = pace - min(float64(asked[0]), importantShare*pace) - float64(sum(asked[1:rank]))
	return sum(current.paced[1:]), limit
}

func sum(counts []int) (n int) {
	for _, c := range counts {
		n += c
	}
	return n
}

// elapsedShare returns the share of the repeats of a span that may be used by now.
func elapsedShare(now time.Time, l RepeatLimit) float64 {
	length := l.spanLength()
	return min(float64(now.UnixNano()%length)/float64(length)+paceAhead, 1)
}

// asked returns the repeats that each rank has asked for in a span or in the one before,
// whichever is more.
func (r *RepeatCounter) asked(number int64) (most [pacedRanks]int) {
	for i := range r.spans {
		if age := number - r.spans[i].number; age != 0 && age != 1 {
			continue
		}
		for rank, asked := range r.spans[i].asked {
			most[rank] = max(most[rank], asked)
		}
	}
	return most
}

// allowed returns the number of repeats in the window that ends with a span. The requests of
// the span in which the window begins don't count, those of its repeats do.
func (r *RepeatCounter) allowed(number int64, l RepeatLimit) float64 {
	requests := 0
	for i := range r.spans {
		if age := number - r.spans[i].number; age >= 0 && age < spansPerWindow {
			requests += r.spans[i].requests
		}
	}
	return l.Ratio * float64(requests)
}

// count returns the requests and repeats of the window that ends with a span.
func (r *RepeatCounter) count(number int64) (requests, repeats int) {
	for i := range r.spans {
		if age := number - r.spans[i].number; age >= 0 && age <= spansPerWindow {
			requests += r.spans[i].requests
			repeats += r.spans[i].repeats
		}
	}
	return requests, repeats
}

// spanAt returns the span that contains a time.
func (r *RepeatCounter) spanAt(now time.Time, l RepeatLimit) *span {
	number := now.UnixNano() / l.spanLength()
	s := &r.spans[number%int64(len(r.spans))]
	if s.number != number {
		*s = span{number: number}
	}
	return s
}
