package wharfadmission

import (
	"math"
	"time"
)

const (
	// entryRejectionTTL is how long a rejection by a target's node lets an entry reject requests
	// itself. Then it sends one on again, to learn whether they are still rejected.
	entryRejectionTTL = 500 * time.Millisecond
	// entryMargin lets an entry send on a little more than the share that is admitted, as it
	// differs between the targets and changes until the request arrives.
	entryMargin = 1.1
	// entryWindow is the time over which an entry counts the requests of a rank. Of the
	// entryWindows last windows, the shares follow the load of the older half.
	entryWindow  = 300 * time.Millisecond
	entryWindows = 6
	// minRankRejection is the rejected share of a rank from which on a rise of the load counts. A
	// rank of which most is admitted gets the room of the less important ones.
	minRankRejection = 0.5
	// minRateRise is the ratio of the last rate to the earlier one from which on the load has risen,
	// and riseDeviations the number of standard deviations by which a count must exceed the earlier
	// ones, so that the fluctuation of a few requests is no rise.
	minRateRise    = 1.3
	riseDeviations = 3.0
)

// EntryShares tells the entry of client requests which requests of a route the nodes of the
// targets reject for congestion downstream, so that it can reject them itself: to send them
// there first takes processor time of two nodes. It knows the shares from the responses to the
// requests that it sends on. A share is right for the load at the time at which it was
// computed: when the load rises, the entry admits the same number of requests until the share
// follows. An EntryShares isn't safe for concurrent use. The zero EntryShares admits everything.
type EntryShares struct {
	shares DownstreamShares
	ranks  [sharesRanks]entryRank
}

// entryRank is the state of a rank.
type entryRank struct {
	// rejectedAt is the time of the last rejection by a target's node, and retryAfter its hint.
	rejectedAt time.Time
	retryAfter time.Duration
	rate       entryRate
}

// entryRate compares the rate of requests with the one that the shares know.
type entryRate struct {
	windowStart time.Time
	arrivals    int
	// perSecond holds the rates of the last windows, oldest first.
	perSecond [entryWindows]float64
}

// record counts a request.
func (r *entryRate) record(now time.Time) {
	if r.windowStart.IsZero() {
		r.windowStart = now
	}
	if elapsed := now.Sub(r.windowStart); elapsed >= entryWindow {
		copy(r.perSecond[:], r.perSecond[1:])
		r.perSecond[entryWindows-1] = float64(r.arrivals) / elapsed.Seconds()
		r.windowStart, r.arrivals = now, 0
	}
	r.arrivals++
}

// rise returns the ratio of the last rate to the earlier one, one if the load hasn't risen.
func (r *entryRate) rise() float64 {
	earlier := 0.0
	for _, rate := range r.perSecond[:entryWindows/2] {
		earlier += rate / (entryWindows / 2)
	}
	last := r.perSecond[entryWindows-1]
	deviation := math.Sqrt(earlier / entryWindow.Seconds())
	if earlier == 0 || last < minRateRise*earlier || last < earlier+riseDeviations*deviation {
		return 1
	}
	return last / earlier
}

// Observe records the shares that the response to a request of a rank reported.
func (e *EntryShares) Observe(now time.Time, rank int, reported RankShares) {
	e.shares.Observe(now, "", rank, reported)
}

// Rejected records that a target's node has rejected a request of a rank, and its retry-after
// hint.
func (e *EntryShares) Rejected(now time.Time, rank int, retryAfter time.Duration) {
	r := &e.ranks[min(clampRank(rank), sharesRanks-1)]
	r.rejectedAt, r.retryAfter = now, retryAfter
}

// Admit counts a request of a priority and reports whether it is to be sent on, and if not, the retry-after hint
// of the last rejection.
func (e *EntryShares) Admit(now time.Time, p Priority) (retryAfter time.Duration, admitted bool) {
	r := &e.ranks[min(p.Rank(), sharesRanks-1)]
	r.rate.record(now)
	if r.rejectedAt.IsZero() || now.Sub(r.rejectedAt) > entryRejectionTTL {
		return 0, true
	}
	share := e.shares.Admitted(now, p.Rank())
	if 1-share > minRankRejection {
		share /= r.rate.rise()
	}
	return r.retryAfter, p.admittedBy(entryMargin * share)
}
