package wharfrouting

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// choices is the number of targets that are drawn. With two, targets of 23 slots had more
	// calls than slots a quarter longer; four are no better than three.
	choices = 3

	// lossProbe is the number of draws of a target that has lost responses of which one isn't
	// compared with others, so that some requests show its recovery.
	lossProbe = 12
	// lossWeightCost lowers the weight of a target by its lost share. With 1, one of two targets
	// that refused all of its calls got a quarter of them.
	lossWeightCost = 4

	// slownessTime is the time over which the slowness of a target is averaged. A slowdown
	// that is shorter shows in the sender's own calls in flight, before its report arrives.
	slownessTime = 5 * time.Second
	// maxSlownessWeight bounds the weight of a new slowness in the average.
	maxSlownessWeight = 0.5
	// limitTime is the time over which the limit of a target is averaged. A node whose processor
	// is busy derives the limit from the calls in progress, which vary.
	limitTime = 500 * time.Millisecond
	// minSlowness and maxSlowness bound how much faster or slower than usual a target counts.
	// Targets of a service differ in speed by a factor of up to three. A target that fails
	// fast must not draw all requests, and one that was slow must get some that show its
	// recovery.
	minSlowness, maxSlowness = 0.25, 4.0
	// usualTimeWeight is the least weight of a new service time in the usual time of its route.
	usualTimeWeight = 0.02
	// maxUsualTimes bounds the routes whose usual times are kept. The one that was seen least
	// recently is dropped.
	maxUsualTimes = 32

	// readyTime is how long a response that shows room counts in favour of its target. It ends
	// with the next request to the target.
	readyTime = 100 * time.Millisecond
	// readyShare is the load, as a share of the limit, below which a target shows room.
	readyShare = 0.9
	// readyBonus is the advantage of such a target, in requests in flight. It is below one, so
	// that it decides only between targets with the same number of requests.
	readyBonus = 0.5

	// commonStart and commonFull are the loads of the service, as a share of its limits, from
	// which requests begin to leave their failure domain and from which they leave it like any other. How they are
	// spread doesn't change this load, so that old reports can't make it swing.
	commonStart, commonFull = 0.6, 0.9
	// spillStart is the load of the own domain from which requests leave it for targets with a
	// lower load. The share that leaves grows up to the full load.
	spillStart = 0.5
	// spillRange is how far the load of a target must be below that of the own domain for the
	// full share. A range of 0.25 made the loads swing with reports that were 200 ms old.
	spillRange = 1.0
	// higherMargin is how far the load of a target may be above that of the own domain without
	// fewer requests leaving for it, and higherRange how far beyond that none leaves.
	higherMargin, higherRange = 0.15, 0.35
)

// Tiers of targets, by their distance from the sender.
const (
	sameDomain = iota
	sameRegion
	otherRegion
)

// tier returns how far a target is from the sender.
func (l Locality) tier(t Target) int {
	switch {
	case t.Region != l.Region:
		return otherRegion
	case t.FailureDomain != l.FailureDomain:
		return sameRegion
	default:
		return sameDomain
	}
}

// usualTime is the mean service time of a route over all targets.
type usualTime struct {
	route   string
	seconds float64
	count   int
	last    time.Time
}

// usualTimes holds the usual service times of routes.
type usualTimes []usualTime

// observe records a service time of a route and returns it relative to the usual one.
func (u *usualTimes) observe(now time.Time, route string, seconds float64) float64 {
	t := u.get(route)
	t.count++
	t.seconds += max(usualTimeWeight, 1/float64(t.count)) * (seconds - t.seconds)
	t.last = now
	return seconds / t.seconds
}

func (u *usualTimes) get(route string) *usualTime {
	for i := range *u {
		if (*u)[i].route == route {
			return &(*u)[i]
		}
	}
	if len(*u) < maxUsualTimes {
		*u = append(*u, usualTime{route: route})
		return &(*u)[len(*u)-1]
	}
	oldest := &(*u)[0]
	for i := range *u {
		if (*u)[i].last.Before(oldest.last) {
			oldest = &(*u)[i]
		}
	}
	*oldest = usualTime{route: route}
	return oldest
}

// observeSlowness records how much longer a target takes for its work than the targets of the
// service do on average. The average over time doesn't depend on the rate of responses, apart from
// the first ones.
func (s *targetState) observeSlowness(now time.Time, slowness float64) {
	slowness = min(max(slowness, minSlowness), maxSlowness)
	s.slownessCount++
	weight := min(now.Sub(s.slownessAt).Seconds()/slownessTime.Seconds(), maxSlownessWeight)
	s.slowness += max(weight, 1/float64(s.slownessCount)) * (slowness - s.slowness)
	s.slownessAt = now
}

// observeSpeed updates what is known of the speed and the room of a target after a response. A
// target whose node doesn't report service times is judged by the latency.
func (b *Balancer) observeSpeed(now time.Time, s *targetState, route string, latency time.Duration, report *LoadReport) {
	seconds := latency.Seconds()
	if report != nil {
		if report.ServiceTime > 0 {
			seconds = report.ServiceTime.Seconds()
		}
		if float64(report.Running+report.Queued) < readyShare*float64(report.Limit) {
			s.readyUntil = now.Add(readyTime)
		}
	}
	if seconds > 0 {
		s.observeSlowness(now, b.usualTimes.observe(now, route, seconds))
	}
}

// updateWeight computes the weight of a target. It is called after each change of the limit, the
// slowness or the announcement.
func (s *targetState) updateWeight() {
	if s.limitAt.IsZero() {
		s.limit = float64(max(s.Slots, 1))
	}
	s.weight = s.limit
	if s.slowness > 0 {
		s.weight /= s.slowness
	}
}

// observeLoad records the limit and the load in a report.
func (s *targetState) observeLoad(now time.Time, report *LoadReport) {
	limit := float64(max(report.Limit, 1))
	weight := 1.0
	if !s.limitAt.IsZero() {
		weight = min(now.Sub(s.limitAt).Seconds()/limitTime.Seconds(), 1)
	}
	s.limit += weight * (limit - s.limit)
	s.limitAt = now
	s.load = report.MeanLoad
	if s.load == 0 {
		s.load = float64(report.Running+report.Queued) / limit
	}
}

// loadNow returns the load of a target as a share of its limit, as far as the sender knows. The
// sender's own requests count at once.
func (s *targetState) loadNow(now time.Time) float64 {
	own := float64(s.inFlight)
	if s.load*s.limit > own && s.hasCurrentReport(now) {
		return s.load
	}
	return own / s.limit
}

// weightNow returns the weight of a target. It is lower if the target loses responses or is new.
func (s *targetState) weightNow(now time.Time) float64 {
	w := s.weight
	if s.lossShare > 0 {
		w /= 1 + lossWeightCost*min(s.lossRate(now), 1)
	}
	return w / s.slowStart(now)
}

// ownLoad returns the load of a target by the sender's own requests, relative to what it can run.
func (s *targetState) ownLoad(now time.Time) float64 {
	own := float64(s.inFlight)
	if now.Before(s.readyUntil) {
		own -= readyBonus
	}
	return own/s.limit + lossCost*s.lossRate(now)
}

// pickWeighted draws targets by their capacities and returns the one with the lowest load by the
// sender's own requests, which is known without delay. What others send isn't compared: their
// requests spread by the same capacities, while senders that follow the same old reports meet at
// the same targets.
func (b *Balancer) pickWeighted(now time.Time, rng *rand.Rand, candidates []*targetState) *targetState {
	b.weigh(now, candidates)
	x := candidates[b.draw(rng)]
	rest := choices - 1
	if x.lossShare > 0 && rng.IntN(lossProbe) == 0 {
		rest = 0
	}
	for range rest {
		y := candidates[b.draw(rng)]
		if x != y && y.ownLoad(now) < x.ownLoad(now) {
			x = y
		}
	}
	x.readyUntil = time.Time{}
	return x
}

// loadSum is the load of some targets.
type loadSum struct {
	busy, limit float64
}

func (l *loadSum) add(limit, load float64) {
	l.busy += load * limit
	l.limit += limit
}

func (l loadSum) share() float64 {
	return l.busy / l.limit
}

// weigh computes the sums of the weights of the candidates. Targets that are farther away than the
// nearest ones count in part, by the loads.
func (b *Balancer) weigh(now time.Time, candidates []*targetState) {
	nearest := otherRegion
	for _, s := range candidates {
		nearest = min(nearest, s.tier)
	}
	b.weights, b.loads = b.weights[:0], b.loads[:0]
	var near, all loadSum
	for _, s := range candidates {
		load := s.loadNow(now)
		all.add(s.limit, load)
		if s.tier == nearest {
			near.add(s.limit, load)
		}
		b.weights = append(b.weights, s.weightNow(now))
		b.loads = append(b.loads, load)
	}
	sp := newSpill(all.share(), near.share())
	sum := 0.0
	for i, s := range candidates {
		if s.tier > nearest {
			b.weights[i] *= sp.share(b.loads[i], s.tier)
		}
		sum += b.weights[i]
		b.weights[i] = sum
	}
}

// draw returns the index of a random candidate, by the weights.
func (b *Balancer) draw(rng *rand.Rand) int {
	end := len(b.weights) - 1
	i, _ := slices.BinarySearch(b.weights, rng.Float64()*b.weights[end])
	return min(i, end)
}

// spill decides which part of the weight of a target outside of the nearest tier counts. Calls inside
// a failure domain are cheaper, so none leaves it while there is room. The share grows gradually,
// because all senders of the domain see the same loads with the same delay.
type spill struct {
	// near is the load of the nearest targets.
	near float64
	// common is the share by the load of the service, and high the one by that of the nearest
	// targets.
	common, high float64
}

func newSpill(all, near float64) spill {
	return spill{
		near:   near,
		common: clampShare((all - commonStart) / (commonFull - commonStart)),
		high:   clampShare((near - spillStart) / (1 - spillStart)),
	}
}

// share returns the part of the weight of a target with a load that counts.
func (s spill) share(load float64, tier int) float64 {
	if s.common == 0 && s.high == 0 {
		return 0
	}
	share := max(s.common*clampShare(1+(s.near-load+higherMargin)/higherRange), s.high*clampShare((s.near-load)/spillRange))
	if tier == otherRegion {
		share *= otherDomainFactor / otherRegionFactor
	}
	return share
}

func clampShare(x float64) float64 {
	return min(max(x, 0), 1)
}
