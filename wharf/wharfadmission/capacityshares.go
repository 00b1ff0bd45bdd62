package wharfadmission

import "time"

const (
	// rateWeight is the weight of a new window of delayWindow in the moving averages of
	// rates and shares. They then cover about half a second, in which a request that was
	// admitted several hops upstream has made its calls.
	rateWeight = 0.2
	// shareLag is the number of windows after which a share shows in the arrivals: the
	// response has to reach the nodes upstream, and a request makes its calls one after
	// another, for about a second.
	shareLag = 12
	// usableShare is the share of the capacity that is given out. The rest covers the
	// fluctuation of arrivals and service times.
	usableShare = 0.97
	// holdTime is how long the shares are held after the target has refused calls: until requests
	// that were admitted then make all of their calls, and show in the moving averages.
	holdTime = 500 * time.Millisecond
	// heldIncrease is the growth of a held share in a window, so that a rank isn't rejected for
	// good by a target that never ceases to refuse calls.
	heldIncrease = 0.001
	// maxDelayCut bounds the factor by which a queue delay above the threshold of a rank
	// reduces its share.
	maxDelayCut = 0.5
)

// CapacityShares computes which share of the client requests of each rank a target can
// serve, from its capacity and that of the processor of its node, and from the rates at
// which calls of the ranks arrive. The nodes upstream admit that share, see
// DownstreamShares. The more important ranks come first. A CapacityShares isn't safe for
// concurrent use. The zero CapacityShares gives every rank the share one.
type CapacityShares struct {
	windowStart time.Time
	arrivals    [rankCount]int
	// rate is the moving average of the arrivals in a window, and meanShare that of the
	// share under which they were admitted.
	rate, meanShare [rankCount]float64
	// rejected is the share that the target can't serve, and past holds the last values of
	// the share that isn't admitted upstream.
	rejected [rankCount]float64
	past     [rankCount][shareLag]float64
	// downstream are the shares of the services downstream that were reported last.
	downstream RankShares
	// heldUntil is the time until which the arrivals don't tell what the target can serve.
	heldUntil time.Time
}

// Hold keeps the shares nearly as they are, until holdTime after the last call of Hold. A target that
// refuses calls whatever its load gets fewer of them, because a request makes no further call after
// one that failed. That isn't room for more requests: once the target accepts calls, those that are
// admitted make all of them.
func (s *CapacityShares) Hold(now time.Time) {
	s.heldUntil = now.Add(holdTime)
}

// RecordArrival records that a request of a rank has arrived at a gate, and what the
// processor of its node can carry. It computes the shares anew if a window has ended.
func (s *CapacityShares) RecordArrival(now time.Time, rank int, g *Gate, p ProcessorLoad) {
	s.advance(now, g, p)
	s.arrivals[clampRank(rank)]++
}

// Admitted returns the share of the client requests of a rank that the target can serve.
func (s *CapacityShares) Admitted(rank int) float64 {
	return 1 - s.rejected[clampRank(rank)]
}

// Report returns the shares of all ranks that the target and the services downstream can serve.
// The arrivals that follow are compared with these.
func (s *CapacityShares) Report(downstream RankShares) RankShares {
	s.downstream = downstream
	return allShares(s.Admitted).Min(downstream)
}

// reportedRejection returns the share of a rank that isn't admitted upstream.
func (s *CapacityShares) reportedRejection(rank int) float64 {
	admitted, known := s.downstream.Admitted(rank)
	if !known {
		return s.rejected[rank]
	}
	return max(s.rejected[rank], 1-admitted)
}

// advance evaluates the windows that have ended.
func (s *CapacityShares) advance(now time.Time, g *Gate, p ProcessorLoad) {
	if s.windowStart.IsZero() {
		s.windowStart = now
	}
	windows := int(now.Sub(s.windowStart) / delayWindow)
	if windows == 0 {
		return
	}
	s.windowStart = now
	if now.Before(s.heldUntil) {
		clear(s.arrivals[:])
		s.growHeld(windows)
		return
	}
	capacity := g.CapacityPerSecond()
	if p.PerSecond > 0 && (capacity == 0 || p.PerSecond < capacity) {
		capacity = p.PerSecond
	}
	room, backlog := usableShare*capacity*delayWindow.Seconds(), p.Backlog*delayWindow.Seconds()
	for rank := range rankCount {
		for range min(windows, maxIncreaseWindows) {
			past := &s.past[rank]
			s.rate[rank] += rateWeight * (float64(s.arrivals[rank])/float64(windows) - s.rate[rank])
			s.meanShare[rank] += rateWeight * (1 - past[0] - s.meanShare[rank])
			copy(past[:], past[1:])
			past[shareLag-1] = s.reportedRejection(rank)
		}
		s.arrivals[rank] = 0
		s.rejected[rank] = 0
		if capacity > 0 && s.rate[rank] > 0 {
			s.rejected[rank] = 1 - s.share(rank, room, g.EstimatedWait(rank))
		}
		room = max(room-s.rate[rank], 0)
		if s.rate[rank] > 0 {
			// Only the most important rank doesn't give way to the requests that wait.
			room, backlog = max(room-backlog, 0), 0
		}
	}
}

// growHeld lets held shares grow for a number of windows.
func (s *CapacityShares) growHeld(windows int) {
	for rank := range s.rejected {
		s.rejected[rank] = max(s.rejected[rank]-heldIncrease*float64(windows), 0)
	}
}

// share returns the share of a rank that fits into the room that the more important
// ranks leave, while its requests wait for some time.
func (s *CapacityShares) share(rank int, room float64, wait time.Duration) float64 {
	share := room / s.rate[rank] * s.meanShare[rank]
	if threshold := delayThreshold(rank); wait > threshold {
		share *= max(threshold.Seconds()/wait.Seconds(), maxDelayCut)
	}
	return min(max(share, minAdmittedShare), 1)
}
