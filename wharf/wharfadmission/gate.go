package wharfadmission

import (
	"math/rand/v2"
	"time"

	"ragwortwharf.dev/wharf/wharfoutcome"
)

const (
	// queuePerSlot is the capacity of the queue as a multiple of the limit.
	queuePerSlot = 2
	// minQueue is the smallest capacity of the queue, in requests.
	minQueue = 8
	// latencyWeight is the weight of a new sample in the moving averages of
	// latency, and in that of the service time at a low rate.
	latencyWeight = 0.1
	// optimisticShare is the share of the usual latency that a request must have
	// left before its deadline when no other request waits for the slot. Some
	// requests finish that fast, and otherwise the slot would stay idle.
	optimisticShare = 0.5
	// responseMargin is the time that a refusal takes to reach the caller: some
	// round trips between failure domains. If a request is refused with less time
	// than this left before its deadline, the caller doesn't learn that the request
	// has not run.
	responseMargin = 10 * time.Millisecond
)

// Refusal tells the node to refuse a request that has not run.
type Refusal struct {
	ID uint64
	// Rank is the rank of the request.
	Rank    int
	Outcome wharfoutcome.Outcome
}

// Effects lists the requests that the node must start or refuse after an event.
type Effects struct {
	Run     []uint64
	Refused []Refusal
}

// Config configures a gate. With the zero Config no request waits for a slot.
type Config struct {
	Limiter Limiter
	Order   Order
	// MaxWait allows a longer queue: as many requests as the target finishes in
	// this time. If it is zero, the limit alone determines the capacity.
	MaxWait time.Duration
	// Levels enables the admission level.
	Levels bool
	// Reserves lists the reserves of the classes.
	Reserves []Reserve
	// Rand adds jitter to retry-after hints. Without it they have no jitter.
	Rand *rand.Rand
}

// Reserve is a share of the limit that is kept for the requests of a rank and of
// the more important ranks. Requests with a rank larger than Rank can't use it.
type Reserve struct {
	Rank  int
	Share float64
}

// running is a request that occupies a slot.
type running struct {
	Ticket
	started time.Time
}

// Gate admits, queues or refuses the requests of one target. It isn't safe for
// concurrent use; its owner must hold a lock.
type Gate struct {
	cfg     Config
	queue   queue
	running []running
	level   Level
	// latency holds the usual latency of each rank.
	latency     [rankCount]latencyEstimate
	rate        rateLimit
	serviceTime serviceTimeEstimate
	// work holds the time for which a request of each kind occupies its slot.
	work [maxWorkKinds]serviceTimeEstimate

	// shortestWait is the shortest wait of a request that started in the current
	// window. There is a standing queue if it exceeds standingDelay.
	shortestWait    time.Duration
	waitRecorded    bool
	standingQueue   bool
	queueOverflowed bool
	windowStart     time.Time

	drainStart time.Time
	drainCount int
	drainRate  float64

	// renewed is when the present incarnation of the target began.
	renewed time.Time
}

// NewGate returns a gate without requests. Without a limiter in cfg the gate uses
// Unlimited.
func NewGate(cfg Config) *Gate {
	if cfg.Limiter == nil {
		cfg.Limiter = Unlimited{}
	}
	return &Gate{cfg: cfg}
}

// SetReserves replaces the reserves.
func (g *Gate) SetReserves(reserves []Reserve) {
	g.cfg.Reserves = reserves
}

// SetLimiter replaces the limiter after the target announced another number of
// slots.
func (g *Gate) SetLimiter(l Limiter) {
	g.cfg.Limiter = l
}

// Renew drops what the gate has learnt of the target, because another incarnation of it has begun,
// and sets its limiter. The requests that run or wait stay, but those that run tell nothing of the
// new incarnation. The effects can start waiting requests, as a rate limit ends.
func (g *Gate) Renew(now time.Time, l Limiter) Effects {
	*g = Gate{cfg: g.cfg, queue: g.queue, running: g.running, renewed: now}
	g.cfg.Limiter = l
	var fx Effects
	g.fill(now, &fx)
	g.shed(&fx)
	return fx
}

// Offer adds a request, which then runs, waits or is refused. The effects can also
// start or refuse other waiting requests.
func (g *Gate) Offer(now time.Time, t Ticket) Effects {
	var fx Effects
	t.Rank, t.Kind = clampRank(t.Rank), clampKind(t.Kind)
	g.advanceWindows(now)
	if !g.canFinish(now, t) {
		g.refuse(&fx, t, wharfoutcome.ReasonDeadline)
		return fx
	}
	g.queue.push(t)
	if g.cfg.Levels && !g.level.Admit(t.Priority) {
		// The least important waiting request is shed. This may be a request
		// that was admitted under a higher level.
		g.dropLeastImportant(&fx)
	}
	g.fill(now, &fx)
	g.shed(&fx)
	return fx
}

// Finish records the end of a request that ran and starts waiting requests. It
// ignores the latency and result of an unknown id.
func (g *Gate) Finish(now time.Time, id uint64, latency time.Duration, result Result) Effects {
	var fx Effects
	for i, r := range g.running {
		if r.ID != id {
			continue
		}
		saturated := len(g.running) >= g.cfg.Limiter.Limit() || g.queue.len() > 0
		end := len(g.running) - 1
		g.running[i] = g.running[end]
		g.running = g.running[:end]
		if r.started.After(g.renewed) {
			g.observe(now, r, Sample{Rank: r.Rank, Latency: latency, Result: result, Saturated: saturated})
		}
		break
	}
	g.advanceWindows(now)
	g.fill(now, &fx)
	g.shed(&fx)
	return fx
}

// Cancel removes a waiting request whose caller disconnected. It reports whether
// the request was waiting.
func (g *Gate) Cancel(id uint64) bool {
	return g.queue.removeID(id)
}

// Load is the load of a target as it is reported to senders.
type Load struct {
	Running int
	Queued  int
	Limit   int
	Level   Priority
	// LeastImportantRank is the rank of the least important request in the queue,
	// which is the largest rank number, or -1 if the queue is empty. A request of
	// this rank is shed before a more important one.
	LeastImportantRank int
	// QueueRoom is the number of further requests that fit into the queue.
	QueueRoom int
}

// Load returns the current load.
func (g *Gate) Load() Load {
	l := Load{
		Running:            len(g.running),
		Queued:             g.queue.len(),
		Limit:              g.effectiveLimit(),
		Level:              LevelOpen,
		LeastImportantRank: g.queue.leastImportantRank(),
		QueueRoom:          max(g.queueCapacity()-g.queue.len(), 0),
	}
	if g.cfg.Levels {
		l.Level = g.level.Threshold()
	}
	return l
}

func (g *Gate) observe(now time.Time, r running, s Sample) {
	g.cfg.Limiter.Observe(now, s)
	if s.Result != Responded {
		return
	}
	g.latency[s.Rank].observe(now, s.Latency)
	g.serviceTime.observe(now, now.Sub(r.started))
	g.work[r.Kind].observe(now, now.Sub(r.started))
	g.drainCount++
	g.measureDrain(now)
}

// fill starts waiting requests while the limit allows it.
func (g *Gate) fill(now time.Time, fx *Effects) {
	for g.queue.len() > 0 {
		i := g.queue.first(g.ranking())
		t := g.queue.tickets[i]
		if !g.canFinish(now, t) {
			g.queue.remove(i)
			g.refuse(fx, t, wharfoutcome.ReasonDeadline)
			continue
		}
		if len(g.running) >= g.limitFor(t.Rank) || !g.rate.allows(now) {
			return
		}
		g.rate.take()
		g.queue.remove(i)
		g.running = append(g.running, running{t, now})
		g.recordWait(now.Sub(t.Arrived))
		fx.Run = append(fx.Run, t.ID)
	}
}

func (g *Gate) recordWait(wait time.Duration) {
	if !g.waitRecorded || wait < g.shortestWait {
		g.shortestWait = wait
	}
	g.waitRecorded = true
}

// shed refuses the least important waiting requests that exceed the capacity of
// the queue.
func (g *Gate) shed(fx *Effects) {
	for g.queue.len() > g.queueCapacity() {
		g.queueOverflowed = true
		g.dropLeastImportant(fx)
	}
}

func (g *Gate) queueCapacity() int {
	limit := g.cfg.Limiter.Limit()
	capacity := max(queuePerSlot*limit, minQueue)
	if g.cfg.MaxWait > 0 && g.serviceTime.seconds > 0 {
		capacity = max(capacity, int(g.cfg.MaxWait.Seconds()/g.serviceTime.seconds*float64(limit)))
	}
	if g.rate.limited() {
		capacity = min(capacity, g.rateQueue())
	}
	return capacity
}

// CapacityPerSecond returns how many requests the target can finish in a second, zero if
// it isn't known.
func (g *Gate) CapacityPerSecond() float64 {
	if g.serviceTime.seconds == 0 {
		return 0
	}
	return float64(g.cfg.Limiter.Limit()) / g.serviceTime.seconds
}

// EstimatedWait estimates how long a request of a rank that arrives now waits for a
// slot, behind those of its rank and of the more important ranks. It doesn't block.
func (g *Gate) EstimatedWait(rank int) time.Duration {
	limit := g.cfg.Limiter.Limit()
	if len(g.running) < limit {
		return 0
	}
	seconds := (g.queue.workUpTo(rank, g.WorkSeconds) + g.serviceTime.seconds) / float64(limit)
	return time.Duration(seconds * float64(time.Second))
}

// queuedWork returns the work of the waiting requests of a rank and of the more important ranks that
// doesn't find slots within freeQueue, in seconds.
func (g *Gate) queuedWork(rank int) float64 {
	if g.queue.len() == 0 {
		return 0
	}
	return max(g.queue.workUpTo(rank, g.WorkSeconds)-freeQueue.Seconds()*float64(g.effectiveLimit()), 0)
}

// WorkSeconds returns the time for which a request of a kind occupies its slot, in seconds. For a
// kind of which none has finished it is that of all requests, zero if none has finished.
func (g *Gate) WorkSeconds(kind int) float64 {
	if w := &g.work[clampKind(kind)]; w.seconds > 0 {
		return w.seconds
	}
	return g.serviceTime.seconds
}

// free reports whether half of the slots are free and no request waits.
func (g *Gate) free() bool {
	return g.queue.len() == 0 && 2*len(g.running) < g.effectiveLimit()
}

func (g *Gate) dropLeastImportant(fx *Effects) {
	t := g.queue.remove(g.queue.last(g.ranking()))
	g.refuse(fx, t, wharfoutcome.ReasonOverload)
}

func (g *Gate) ranking() ranking {
	return ranking{order: g.cfg.Order, standingQueue: g.standingQueue}
}

// limitFor returns the part of the limit that requests of a rank may use.
func (g *Gate) limitFor(rank int) int {
	limit := g.cfg.Limiter.Limit()
	share := 1.0
	for _, r := range g.cfg.Reserves {
		if r.Rank < rank {
			share -= r.Share
		}
	}
	if share >= 1 {
		return limit
	}
	return max(int(share*float64(limit)), 1)
}

// canFinish reports whether a request can still be answered before its deadline.
// An idle target gets any request whose deadline has not passed, because only a
// finished request can correct a wrong latency estimate.
func (g *Gate) canFinish(now time.Time, t Ticket) bool {
	if len(g.running) == 0 {
		return t.Deadline.After(now)
	}
	latest := g.LatestStart(t)
	if g.uncontended(t) {
		optimistic := time.Duration(optimisticShare * float64(g.estimate(t.Rank)))
		latest = t.Deadline.Add(-max(optimistic, responseMargin))
	}
	if now.Before(latest) {
		return true
	}
	return now.Before(t.Deadline.Add(-responseMargin)) && g.probes(now, t)
}

// probes reports whether a request is let in to measure the latency of its rank again. One
// that the admission level refuses would measure nothing.
func (g *Gate) probes(now time.Time, t Ticket) bool {
	latency := &g.latency[t.Rank]
	if !latency.isProbe(t.ID) && g.cfg.Levels && t.Priority > g.level.Threshold() {
		return false
	}
	return latency.probe(now, t.ID)
}

// uncontended reports whether there is a free slot for a request and no other
// request waits.
func (g *Gate) uncontended(t Ticket) bool {
	others := g.queue.len()
	if others == 1 && g.queue.tickets[0].ID == t.ID {
		others = 0
	}
	return others == 0 && len(g.running) < g.limitFor(t.Rank)
}

// UsualLatency returns the usual latency of a rank, zero if it is unknown.
func (g *Gate) UsualLatency(rank int) time.Duration {
	return g.estimate(rank)
}

// estimate returns the usual latency of a rank, zero if it is unknown.
func (g *Gate) estimate(rank int) time.Duration {
	return time.Duration(g.latency[clampRank(rank)].seconds * float64(time.Second))
}

// LatestStart returns the time from which a waiting request is refused. After
// that time the target could not answer before the deadline, while a refusal still
// reaches the caller in time.
func (g *Gate) LatestStart(t Ticket) time.Time {
	if g.latency[clampRank(t.Rank)].isProbe(t.ID) {
		return t.Deadline.Add(-responseMargin)
	}
	return t.Deadline.Add(-max(g.estimate(t.Rank), responseMargin))
}

func (g *Gate) refuse(fx *Effects, t Ticket, reason wharfoutcome.Reason) {
	outcome := wharfoutcome.Refuse(reason).WithRetryAfter(g.RetryAfter())
	fx.Refused = append(fx.Refused, Refusal{ID: t.ID, Rank: t.Rank, Outcome: outcome})
}
