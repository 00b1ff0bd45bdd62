package wharfadmission

import "time"

const (
	// returnsWeight is the weight of a request in the moving average of the late share.
	returnsWeight = 1.0 / 64
	// earliestReturn is the shortest time after which a rejected caller is asked to return. Before
	// that the admitted share is hardly another one.
	earliestReturn = 100 * time.Millisecond
	// returnShare is the part of the objective within which a caller has to return so that its request
	// can be served in time.
	returnShare = 0.6
	// returnSpread is the factor of the time in which what is rejected in an objective could be served
	// if nothing else arrived. In the model 0.606 of the reads are served in waves with 3, and 0.591
	// with 1.
	returnSpread = 3.0
	// honouredShare is the part of its remaining time for which a caller waits at most.
	honouredShare = 1.0 / 3
	// longestTTL is how long the longest remaining time of a route counts.
	longestTTL = time.Minute
)

// Returns tells the requests of a route that can still be served within their latency objective
// from those of callers that were rejected and return too late for that. It knows the age of a
// request from the time that its caller still waits, compared with the longest such time of the
// route. Among the requests of a rank the late ones get the less important priorities: the same
// number of requests is admitted, but those that are served are served in time. A Returns isn't
// safe for concurrent use. The zero Returns takes no request for late.
type Returns struct {
	// longest is the longest remaining time since the time since, and before that of the
	// longestTTL before.
	longest, before time.Duration
	since           time.Time
	// lateShare is the moving average of the share of late requests.
	lateShare float64
}

// Priority records a request whose caller waits for a remaining time, and returns its priority.
// Without an objective it isn't late.
func (r *Returns) Priority(now time.Time, rank int, requestHash uint64, remaining, objective time.Duration) Priority {
	late := objective > 0 && r.age(now, remaining) > objective
	r.lateShare -= returnsWeight * r.lateShare
	if late {
		r.lateShare += returnsWeight
	}
	return r.order(rank, requestHash, late)
}

// age returns how long ago the caller of a request has sent it first.
func (r *Returns) age(now time.Time, remaining time.Duration) time.Duration {
	if now.Sub(r.since) > longestTTL {
		r.before, r.longest, r.since = r.longest, 0, now
	}
	r.longest = max(r.longest, remaining)
	return max(r.longest, r.before) - remaining
}

// order returns the priority of a request. The late requests share the last buckets of a rank, as
// many as they are, so that a share of the buckets remains that share of the requests.
func (r *Returns) order(rank int, requestHash uint64, late bool) Priority {
	position := float64(requestHash%(1<<16)) / (1 << 16)
	if late {
		position = 1 - r.lateShare*(1-position)
	} else {
		position *= 1 - r.lateShare
	}
	return PriorityOf(rank, uint64(position*bucketsPerRank))
}

// RetryAfter returns the time after which a rejected caller is asked to return, of which random, a
// number from 0 to 1, selects the point in the time in which what is rejected now can be served at
// the admitted share, as long as that is in time for the objective. The result is zero if it is too
// late for that, or if the objective isn't known.
func (r *Returns) RetryAfter(now time.Time, remaining, objective time.Duration, admitted, random float64) time.Duration {
	if objective <= 0 {
		return 0
	}
	latest := time.Duration(returnShare*float64(objective)) - r.age(now, remaining)
	latest = min(latest, time.Duration(honouredShare*float64(remaining)))
	if latest <= earliestReturn {
		return 0
	}
	admitted = max(admitted, minAdmittedShare)
	spread := min(time.Duration(returnSpread*(1-admitted)/admitted*float64(objective)), latest-earliestReturn)
	return earliestReturn + time.Duration(random*float64(spread))
}
