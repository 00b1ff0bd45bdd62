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

// spansPerWindow is the number of equal parts in which a window is counted.
const spansPerWindow = 10

// span holds the counts of one part of a window.
type span struct {
	number   int64
	requests int
	repeats  int
}

// RepeatCounter limits the repeated requests of one node for one service to the
// node's part of a RepeatLimit. It isn't safe for concurrent use; its owner must
// hold a lock. The zero RepeatCounter has counted nothing.
type RepeatCounter struct {
	// spans has one span more than a window, because the window begins within the
	// oldest span.
	spans [spansPerWindow + 1]span
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
	requests, repeats := 0, 0
	for i := range r.spans {
		if current.number-r.spans[i].number <= spansPerWindow {
			requests += r.spans[i].requests
			repeats += r.spans[i].repeats
		}
	}
	allowed := l.Ratio*float64(requests) + float64(l.Slack)/float64(max(nodes, 1))
	if float64(repeats+1) > allowed {
		return false
	}
	current.repeats++
	return true
}

// spanAt returns the span that contains a time.
func (r *RepeatCounter) spanAt(now time.Time, l RepeatLimit) *span {
	number := now.UnixNano() / max(int64(l.Window/spansPerWindow), 1)
	s := &r.spans[number%int64(len(r.spans))]
	if s.number != number {
		*s = span{number: number}
	}
	return s
}
