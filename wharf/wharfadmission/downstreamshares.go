package wharfadmission

import (
	"math"
	"time"
)

const (
	// shareHalfLife is the time in which the weight of earlier shares in the moving
	// average halves. The calls of a request reach several targets, whose shares differ.
	shareHalfLife = 100 * time.Millisecond
	// shareTTL is the age after which a share is no longer known to be right. It then
	// doubles in each shareDoublingTime, so that a target that admits too few requests to
	// learn the present share recovers.
	shareTTL          = time.Second
	shareDoublingTime = time.Second
)

// DownstreamShares holds the shares of the client requests of each rank that the services
// downstream of a target can serve. The congested target computes the share, because it
// sees all calls, while each of many targets upstream makes too few calls to measure the
// congestion. Responses carry the share upstream. A DownstreamShares isn't safe for
// concurrent use. The zero DownstreamShares admits everything.
type DownstreamShares struct {
	ranks [rankCount]knownShare
}

// knownShare is the share of a rank as of a time.
type knownShare struct {
	admitted float64
	at       time.Time
}

// Observe records the share that the response to a call reported for the rank of its
// client request.
func (s *DownstreamShares) Observe(now time.Time, rank int, admitted float64) {
	k := &s.ranks[clampRank(rank)]
	earlier := math.Exp2(-now.Sub(k.at).Seconds() / shareHalfLife.Seconds())
	k.admitted = admitted + earlier*(k.admitted-admitted)
	k.at = now
}

// Admitted returns the share of the client requests of a rank to admit.
func (s *DownstreamShares) Admitted(now time.Time, rank int) float64 {
	k := s.ranks[clampRank(rank)]
	if k.at.IsZero() {
		return 1
	}
	stale := max(now.Sub(k.at)-shareTTL, 0)
	return min(max(k.admitted, minAdmittedShare)*math.Exp2(stale.Seconds()/shareDoublingTime.Seconds()), 1)
}

// Admit reports whether a client request of a priority is admitted.
func (s *DownstreamShares) Admit(now time.Time, p Priority) bool {
	return p.admittedBy(s.Admitted(now, p.Rank()))
}
