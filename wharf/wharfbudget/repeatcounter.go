package wharfbudget

import "time"

// RepeatLimit bounds how often requests reach targets beyond the first time,
// over all nodes together and in any window.
type RepeatLimit struct {
	// Ratio is the share of the requests for a service that may be repeated.
	Ratio float64
	// Slack is how many more may be, over all nodes together.
	Slack int
	// Window is the time that both are counted over.
	Window time.Duration
}

// repeatSpans is the number of parts that a window is counted in.
const repeatSpans = 10

// span counts a part of a window.
type span struct {
	number   int64
	requests int
	repeats  int
}

// RepeatCounter keeps one node's repeats for one service within its part of a limit.
// It isn't safe for concurrent use; its owner holds a lock. The zero RepeatCounter has
// counted nothing.
type RepeatCounter struct {
	// spans holds one part more than a window, because the oldest one reaches
	// into it.
	spans [repeatSpans + 1]span
}

// Request counts a request for the service.
func (r *RepeatCounter) Request(now time.Time, l RepeatLimit) {
	r.at(now, l).requests++
}

// Allow counts a repeat, or reports false if it would pass the limit. Each node
// has its own share of the requests and an equal part of the slack, so that the
// sum over any number of nodes keeps the limit.
func (r *RepeatCounter) Allow(now time.Time, l RepeatLimit, nodes int) bool {
	present := r.at(now, l)
	requests, repeats := 0, 0
	for i := range r.spans {
		if present.number-r.spans[i].number <= repeatSpans {
			requests += r.spans[i].requests
			repeats += r.spans[i].repeats
		}
	}
	allowed := l.Ratio*float64(requests) + float64(l.Slack)/float64(max(nodes, 1))
	if float64(repeats+1) > allowed {
		return false
	}
	present.repeats++
	return true
}

// at returns the span of a time.
func (r *RepeatCounter) at(now time.Time, l RepeatLimit) *span {
	number := now.UnixNano() / max(int64(l.Window/repeatSpans), 1)
	s := &r.spans[number%int64(len(r.spans))]
	if s.number != number {
		*s = span{number: number}
	}
	return s
}
