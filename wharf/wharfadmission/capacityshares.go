package wharfadmission

import (
	"math"
	"time"
)

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
	// jumpWeight is the weight of a window in which the calls of a rank differ from their moving
	// average by more than jumpDeviations standard deviations of a count, so that a surge shows
	// within two windows.
	jumpWeight     = 0.5
	jumpDeviations = 4.0
	// toleratedRefusals is the part of the calls of a rank that may be refused after they have
	// arrived. Above it the share of the rank is multiplied in each window by the served part to
	// the power of refusalExponent, which takes the part twice in the time in which
	// a change shows in the arrivals, and the share grows by less than regrowthFactor and regrowthStep
	// in a window after that. A request of which a call is refused makes no further
	// one, so that the arrivals of the rank don't tell how many calls the admitted requests need.
	toleratedRefusals = 0.01
	refusalExponent   = 2.0 / shareLag
	regrowthFactor    = 1.1
	regrowthStep      = 0.01
	// positionWeight is the weight of a call in the moving average of positions.
	positionWeight = 1.0 / 64
	// queueTime is the time in which the calls that wait for a slot are to be served, beyond those that
	// find one within freeQueue. The rate of arrivals alone doesn't show an overload: a request
	// makes its next call only after the last one, so that calls arrive at the rate at which they are
	// served, and the queue grows with the requests in progress.
	queueTime = 200 * time.Millisecond
	freeQueue = 10 * time.Millisecond
	// presentRate is the number of calls in a window from which a rank counts as present.
	presentRate = 0.05
	// maxDelayCut bounds the factor by which a queue delay above the threshold of a rank
	// reduces its share.
	maxDelayCut = 0.5
)

// demand is what requests need in a window: time of slots in seconds, and calls, each of which
// takes processor time of the node.
type demand struct {
	slotSeconds, calls float64
}

// rankArrivals holds the calls of a rank that arrived in a window, and the number of them that
// were refused.
type rankArrivals struct {
	demand
	refused float64
}

// CapacityShares computes which share of the client requests of each rank a target can
// serve, from its capacity and that of the processor of its node, and from the rates at
// which calls of the ranks arrive. A call counts with the time for which calls of its kind
// occupy a slot. The nodes upstream admit that share, see DownstreamShares, and the node of the
// target admits it of the client requests that come straight there. The more important ranks
// come first. A CapacityShares isn't safe for concurrent use. The zero CapacityShares gives
// every rank the share one.
type CapacityShares struct {
	windowStart time.Time
	arrivals    [rankCount]rankArrivals
	// rate is the moving average of the arrivals in a window, and meanShare that of the
	// share under which they were admitted.
	rate      [rankCount]demand
	meanShare [rankCount]float64
	// rejected is the share that the target can't serve, and past holds the last values of
	// the share that isn't admitted upstream.
	rejected [rankCount]float64
	past     [rankCount][shareLag]float64
	// before holds the number of ranks that are present and more important than each one, and present
	// that of all.
	before  [rankCount]int
	present int
	// accounts divides the shares between client accounts, and unlisted holds the shares of the
	// accounts that accounts doesn't list.
	accounts accountDemands
	unlisted [rankCount]float64
	// ranks holds the shares of the accounts that aren't listed for a report, zero if they have changed
	// since.
	ranks RankShares
	// position is the moving average of the positions within their rank at which calls arrive. Those
	// of an admitted share are spread evenly from zero to the share.
	position [rankCount]float64
	// limited is true for a rank whose share is bounded since calls were refused.
	limited [rankCount]bool
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

// RecordArrival records that a request has arrived at a gate, and what the processor of its node
// can carry. It computes the shares anew if a window has ended.
func (s *CapacityShares) RecordArrival(now time.Time, t Ticket, g *Gate, p ProcessorLoad) {
	s.advance(now, g, p)
	arrivals := &s.arrivals[clampRank(t.Rank)]
	work := g.WorkSeconds(t.Kind)
	arrivals.slotSeconds += work
	arrivals.calls++
	s.accounts.record(t.Account, t.Rank, work)
}

// RecordRefusal records that a request of a rank that has arrived was refused all the same.
func (s *CapacityShares) RecordRefusal(rank int) {
	s.arrivals[clampRank(rank)].refused++
}

// AdmitCall reports whether a call of a service is served in spite of the wait for the processor of
// the node. Of the calls of a rank that arrive those are refused first whose client requests would
// not be admitted under a smaller share, so that a few requests lose all of their calls instead of
// many requests one.
func (s *CapacityShares) AdmitCall(priority Priority, p ProcessorLoad) bool {
	rank := clampRank(priority.Rank())
	s.position[rank] += positionWeight * (priority.position() - s.position[rank])
	lessImportant := s.present - s.before[rank]
	if s.isPresent(rank) {
		lessImportant--
	}
	served := p.servedPart(lessImportant)
	return served == 1 || priority.admittedBy(2*s.position[rank]*served)
}

// AdmitClient reports whether a client request that comes straight to the target is admitted. One
// that a service downstream is called for is subject to the shares of that service as well.
func (s *CapacityShares) AdmitClient(now time.Time, account uint32, priority Priority, g *Gate, p ProcessorLoad) bool {
	s.advance(now, g, p)
	return priority.admittedBy(s.AdmittedOf(account, priority.Rank())) || g.free() && !p.scarce()
}

// Order returns the number of ranks that are more important than a rank and whose calls arrive. Ranks
// that make no calls to the target don't count, because they need nothing of it.
func (s *CapacityShares) Order(rank int) int {
	return s.before[clampRank(rank)]
}

// isPresent reports whether calls of a rank arrive.
func (s *CapacityShares) isPresent(rank int) bool {
	return s.rate[rank].calls >= presentRate
}

// Excess reports whether a request is beyond the fair share of its account.
func (s *CapacityShares) Excess(account uint32, priority Priority) bool {
	if account == 0 {
		return false
	}
	admitted, known := s.accounts.admitted(account, priority.Rank())
	return known && !priority.admittedBy(admitted)
}

// Admitted returns the share of the client requests of a rank that the target can serve.
func (s *CapacityShares) Admitted(rank int) float64 {
	return 1 - s.rejected[clampRank(rank)]
}

// AdmittedOf returns the share of the client requests of an account and a rank that the target can
// serve.
func (s *CapacityShares) AdmittedOf(account uint32, rank int) float64 {
	if admitted, known := s.accounts.admitted(account, rank); known {
		return admitted
	}
	return s.ofUnlisted(rank)
}

// Accounts returns the shares of the accounts that get less than they ask for, as far as they are
// listed in reports.
func (s *CapacityShares) Accounts() []AccountShare {
	return s.accounts.listed
}

// ofUnlisted returns the share of the accounts of a rank that aren't listed.
func (s *CapacityShares) ofUnlisted(rank int) float64 {
	if !s.accounts.divided {
		return s.Admitted(rank)
	}
	return s.unlisted[clampRank(rank)]
}

// Report returns the shares of all ranks that the target and the services downstream can serve.
// The arrivals that follow are compared with these.
func (s *CapacityShares) Report(downstream RankShares) RankShares {
	return s.ReportAll(Report{Ranks: downstream}).Ranks
}

// ReportAll is Report with the shares of accounts.
func (s *CapacityShares) ReportAll(downstream Report) Report {
	s.downstream = downstream.Ranks
	if s.ranks == (RankShares{}) {
		s.ranks = allShares(s.ofUnlisted)
	}
	return Report{Ranks: s.ranks, Accounts: s.accounts.listed}.Min(downstream)
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
	s.windowStart, s.ranks = now, RankShares{}
	if now.Before(s.heldUntil) {
		clear(s.arrivals[:])
		s.growHeld(windows)
		return
	}
	room := s.room(g, p)
	backlog := p.Backlog * delayWindow.Seconds()
	var weights [rankCount]float64
	s.present = 0
	for rank := range rankCount {
		arrivals := s.arrivals[rank]
		s.arrivals[rank] = rankArrivals{}
		weights[rank] = s.observe(rank, arrivals.demand, windows)
		s.before[rank] = s.present
		if s.isPresent(rank) {
			s.present++
		}
		if s.rate[rank].calls == 0 {
			s.rejected[rank] = 0
			continue
		}
		share := s.share(rank, room.without(g.queuedWork(rank)), g.EstimatedWait(rank))
		s.rejected[rank] = 1 - s.bound(rank, share, arrivals, windows)
		// Only the most important rank doesn't give way to the requests that wait.
		room.slotSeconds = max(room.slotSeconds-s.rate[rank].slotSeconds, 0)
		room.calls = max(room.calls-s.rate[rank].calls-backlog, 0)
		backlog = 0
	}
	s.divide(windows, &weights)
}

// divide divides the shares of the ranks between the accounts.
func (s *CapacityShares) divide(windows int, weights *[rankCount]float64) {
	if !s.accounts.named {
		return
	}
	var shares [rankCount]float64
	for rank := range shares {
		shares[rank] = s.Admitted(rank)
	}
	s.accounts.advance(windows, weights, &shares, &s.unlisted)
}

// observe adds the arrivals of a rank in a number of windows to its moving averages, and returns
// their weight.
func (s *CapacityShares) observe(rank int, arrivals demand, windows int) float64 {
	weight, past := rateWeight, &s.past[rank]
	mean := s.rate[rank].calls
	if difference := arrivals.calls/float64(windows) - mean; difference > jumpDeviations*math.Sqrt(max(mean, 1)) {
		weight = jumpWeight
	}
	for range min(windows, maxIncreaseWindows) {
		s.rate[rank].add(weight, arrivals, windows)
		s.meanShare[rank] += weight * (1 - past[0] - s.meanShare[rank])
		copy(past[:], past[1:])
		past[shareLag-1] = s.reportedRejection(rank)
	}
	return weight
}

// bound returns the share of a rank, bounded if calls of its were refused in the window.
func (s *CapacityShares) bound(rank int, share float64, arrivals rankArrivals, windows int) float64 {
	before := s.Admitted(rank)
	if refused := arrivals.refused / max(arrivals.calls, 1); refused > toleratedRefusals {
		s.limited[rank] = true
		return max(min(share, before*math.Pow(1-min(refused, 1), refusalExponent)), minAdmittedShare)
	}
	if !s.limited[rank] {
		return share
	}
	bound := before
	for range min(windows, maxIncreaseWindows) {
		bound = bound*regrowthFactor + regrowthStep
	}
	s.limited[rank] = share > bound
	return min(share, bound)
}

// room returns what the target and the processor of its node can serve in a window. What isn't
// known is no limit.
func (s *CapacityShares) room(g *Gate, p ProcessorLoad) demand {
	room := demand{math.Inf(1), math.Inf(1)}
	if g.serviceTime.seconds > 0 {
		room.slotSeconds = usableShare * float64(g.effectiveLimit()) * delayWindow.Seconds()
	}
	if p.PerSecond > 0 {
		room.calls = usableShare * p.PerSecond * delayWindow.Seconds()
	}
	return room
}

// without returns the room that is left in a window if queued work, in seconds, is served in queueTime.
func (d demand) without(queued float64) demand {
	d.slotSeconds = max(d.slotSeconds-queued*delayWindow.Seconds()/queueTime.Seconds(), 0)
	return d
}

// add adds the arrivals of a number of windows, of which this is one, to a moving average.
func (d *demand) add(weight float64, arrivals demand, windows int) {
	d.slotSeconds += weight * (arrivals.slotSeconds/float64(windows) - d.slotSeconds)
	d.calls += weight * (arrivals.calls/float64(windows) - d.calls)
}

// part returns the largest part of a demand that fits into the room.
func (d demand) part(room demand) float64 {
	part := room.calls / d.calls
	if d.slotSeconds > 0 {
		part = min(part, room.slotSeconds/d.slotSeconds)
	}
	return part
}

// growHeld lets held shares grow for a number of windows.
func (s *CapacityShares) growHeld(windows int) {
	for rank := range s.rejected {
		s.rejected[rank] = max(s.rejected[rank]-heldIncrease*float64(windows), 0)
		s.unlisted[rank] = min(s.unlisted[rank]+heldIncrease*float64(windows), 1)
	}
	s.accounts.grow(heldIncrease * float64(windows))
}

// share returns the share of a rank that fits into the room that the more important
// ranks leave, while its requests wait for some time.
func (s *CapacityShares) share(rank int, room demand, wait time.Duration) float64 {
	share := s.rate[rank].part(room) * s.meanShare[rank]
	if threshold := delayThreshold(s.before[rank]); wait > threshold {
		share *= max(threshold.Seconds()/wait.Seconds(), maxDelayCut)
	}
	return min(max(share, minAdmittedShare), 1)
}
