package wharfadmission

import "time"

const (
	// entryRejectionTTL is how long a rejection by a target's node lets an entry reject requests
	// itself. Then it sends one on again, to learn whether they are still rejected.
	entryRejectionTTL = 500 * time.Millisecond
	// entryMargin lets an entry send on a little more than the share that is admitted, as it
	// differs between the targets and changes until the request arrives.
	entryMargin = 1.1
)

// EntryShares tells the entry of client requests which requests of a route the nodes of the
// targets reject for congestion downstream, so that it can reject them itself: to send them
// there first takes processor time of two nodes. It knows the shares from the responses to the
// requests that it sends on. An EntryShares isn't safe for concurrent use. The zero EntryShares
// admits everything.
type EntryShares struct {
	shares DownstreamShares
	ranks  [rankCount]entryRejection
}

// entryRejection is the last rejection of a request of a rank.
type entryRejection struct {
	at         time.Time
	retryAfter time.Duration
}

// Observe records what the response to a request of a rank reported.
func (e *EntryShares) Observe(now time.Time, rank int, reported Report) {
	e.shares.ObserveReport(now, "", rank, reported)
}

// Rejected records that a target's node has rejected a request of a rank, and its retry-after
// hint.
func (e *EntryShares) Rejected(now time.Time, rank int, retryAfter time.Duration) {
	e.ranks[clampRank(rank)] = entryRejection{at: now, retryAfter: retryAfter}
}

// Admit reports whether a request of an account and a priority is to be sent on, and if not, the
// retry-after hint of the last rejection.
func (e *EntryShares) Admit(now time.Time, account uint32, p Priority) (retryAfter time.Duration, admitted bool) {
	share, retryAfter := e.Share(now, account, p.Rank())
	return retryAfter, p.admittedBy(share)
}

// Share returns the share of the requests of an account and a rank that is to be sent on, and the
// retry-after hint for the others. It changes nothing.
func (e *EntryShares) Share(now time.Time, account uint32, rank int) (share float64, retryAfter time.Duration) {
	last := e.ranks[clampRank(rank)]
	if last.at.IsZero() || now.Sub(last.at) > entryRejectionTTL {
		return 1, 0
	}
	return min(entryMargin*e.Admitted(now, account, rank), 1), last.retryAfter
}

// Admitted returns the share of the requests of an account and a rank that the targets admit, as far
// as it is known.
func (e *EntryShares) Admitted(now time.Time, account uint32, rank int) float64 {
	return e.shares.AdmittedOf(now, account, rank)
}
