package wharfadmission

import (
	"math/rand/v2"
	"time"

	"ragwortwharf.dev/wharf/wharfoutcome"
)

const (
	// queuePerSlot is the capacity of the queue, in limits.
	queuePerSlot = 2
	// minQueue is the least capacity of the queue.
	minQueue = 8
	// latencyWeight smooths the latency that estimates are made from.
	latencyWeight = 0.1
	// optimisticShare is the part of the usual latency in which a request can still end
	// with some luck. It is tried where nobody else waits for the slot: late is
	// better than never.
	optimisticShare = 0.5
	// responseMargin is the time that a refusal takes back to its caller: some
	// round trips between failure domains. Who is refused later than this before
	// the deadline doesn't hear that the request has not run.
	responseMargin = 10 * time.Millisecond
)

// Refusal ends a request that did not run.
type Refusal struct {
	ID      uint64
	Outcome wharfoutcome.Outcome
}

// Effects is what the node has to carry out after an event.
type Effects struct {
	Run     []uint64
	Refused []Refusal
}

// Config configures a gate. The zero Config runs everything at once.
type Config struct {
	Limiter Limiter
	Order   Order
	// MaxWait is how long the queue may become, in the time that it takes to
	// drain. Zero bounds it by the limit alone.
	MaxWait time.Duration
	// Levels turns the admission level on.
	Levels bool
	// Reserves lists the share of the limit that each class keeps from the
	// less important ones.
	Reserves []Reserve
	// Rand spreads the advice on when to come back.
	Rand *rand.Rand
}

// Reserve is the share of a limit that is kept from ranks above Rank.
type Reserve struct {
	Rank  int
	Share float64
}

// running is a request that has a slot.
type running struct {
	Ticket
	started time.Time
}

// Gate decides on the requests of one target. It isn't safe for concurrent
// use; its owner holds a lock.
type Gate struct {
	cfg     Config
	queue   queue
	running []running
	level   Level
	latency rankLatency
	// hold is the smoothed time that a request holds its slot, in seconds.
	hold float64

	// shortestWait is the least wait of a request in the present window; the
	// queue stands when it doesn't come down to nothing.
	shortestWait time.Duration
	waitSeen     bool
	standing     bool
	refusedFull  bool
	windowStart  time.Time

	drainStart time.Time
	drainCount int
	drainRate  float64
}

// NewGate returns a gate without requests.
func NewGate(cfg Config) *Gate {
	if cfg.Limiter == nil {
		cfg.Limiter = Unlimited{}
	}
	return &Gate{cfg: cfg}
}

// SetReserves puts new reserves in force.
func (g *Gate) SetReserves(reserves []Reserve) {
	g.cfg.Reserves = reserves
}

// SetLimiter puts another limiter in force, for a target that announced
// another number of slots.
func (g *Gate) SetLimiter(l Limiter) {
	g.cfg.Limiter = l
}

// Offer asks for a slot.
func (g *Gate) Offer(now time.Time, t Ticket) Effects {
	var fx Effects
	t.Rank = min(max(t.Rank, 0), rankCount-1)
	g.advanceWindows(now)
	if !g.canFinish(now, t) {
		g.refuse(&fx, t.ID, wharfoutcome.ReasonDeadline)
		return fx
	}
	g.queue.push(t)
	if g.cfg.Levels && !g.level.Admit(t.Priority) {
		// What the level sheds is the least important of all that waits, which
		// may be a request that was let in under a higher level.
		g.dropLast(&fx)
	}
	g.fill(now, &fx)
	g.shed(&fx)
	return fx
}

// Finish ends a request that ran.
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
		g.observe(now, now.Sub(r.started), Sample{Rank: r.Rank, Latency: latency, Result: result, Saturated: saturated})
		break
	}
	g.advanceWindows(now)
	g.fill(now, &fx)
	g.shed(&fx)
	return fx
}

// Cancel removes a request whose caller went away while it waited.
func (g *Gate) Cancel(id uint64) bool {
	return g.queue.removeID(id)
}

// Load is what senders are told of the target.
type Load struct {
	Running int
	Queued  int
	Limit   int
	Level   Priority
	// LowestRank is the largest rank that waits, -1 if none does. It gives way
	// to a more important request.
	LowestRank int
	// QueueRoom is how many more requests may wait.
	QueueRoom int
}

// Load returns the present load.
func (g *Gate) Load() Load {
	l := Load{
		Running:    len(g.running),
		Queued:     g.queue.len(),
		Limit:      g.cfg.Limiter.Limit(),
		Level:      LevelOpen,
		LowestRank: g.queue.lowestRank(),
		QueueRoom:  max(g.queueCapacity()-g.queue.len(), 0),
	}
	if g.cfg.Levels {
		l.Level = g.level.Threshold()
	}
	return l
}

func (g *Gate) observe(now time.Time, held time.Duration, s Sample) {
	g.cfg.Limiter.Observe(now, s)
	if s.Result != Answered {
		return
	}
	g.latency.smooth(s.Rank, s.Latency.Seconds(), latencyWeight)
	g.hold = smooth(g.hold, held.Seconds(), latencyWeight)
	g.drainCount++
	g.measureDrain(now)
}

// fill starts waiting requests while the limit allows.
func (g *Gate) fill(now time.Time, fx *Effects) {
	for g.queue.len() > 0 {
		i := g.queue.first(g.ranking())
		t := g.queue.tickets[i]
		if !g.canFinish(now, t) {
			g.queue.remove(i)
			g.refuse(fx, t.ID, wharfoutcome.ReasonDeadline)
			continue
		}
		if len(g.running) >= g.limitFor(t.Rank) {
			return
		}
		g.queue.remove(i)
		g.running = append(g.running, running{t, now})
		g.recordWait(now.Sub(t.Arrived))
		fx.Run = append(fx.Run, t.ID)
	}
}

func (g *Gate) recordWait(wait time.Duration) {
	if !g.waitSeen || wait < g.shortestWait {
		g.shortestWait = wait
	}
	g.waitSeen = true
}

// shed refuses the least important waiting requests beyond the capacity.
func (g *Gate) shed(fx *Effects) {
	for g.queue.len() > g.queueCapacity() {
		g.refusedFull = true
		g.dropLast(fx)
	}
}

func (g *Gate) queueCapacity() int {
	limit := g.cfg.Limiter.Limit()
	capacity := max(queuePerSlot*limit, minQueue)
	if g.cfg.MaxWait > 0 && g.hold > 0 {
		capacity = max(capacity, int(g.cfg.MaxWait.Seconds()/g.hold*float64(limit)))
	}
	return capacity
}

// EstimatedWait estimates how long a request that comes now waits for a slot.
func (g *Gate) EstimatedWait() time.Duration {
	limit := g.cfg.Limiter.Limit()
	if len(g.running) < limit {
		return 0
	}
	seconds := float64(g.queue.len()+1) / float64(limit) * g.hold
	return time.Duration(seconds * float64(time.Second))
}

func (g *Gate) dropLast(fx *Effects) {
	t := g.queue.remove(g.queue.last(g.ranking()))
	g.refuse(fx, t.ID, wharfoutcome.ReasonOverload)
}

func (g *Gate) ranking() ranking {
	return ranking{order: g.cfg.Order, standing: g.standing}
}

// limitFor returns the part of the limit that a rank may fill.
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

// canFinish reports whether a request can still be answered in time. An idle
// target always gets a request, so that a wrong estimate mends itself.
func (g *Gate) canFinish(now time.Time, t Ticket) bool {
	switch {
	case len(g.running) == 0:
		return t.Deadline.After(now)
	case g.uncontended(t):
		lucky := time.Duration(optimisticShare * float64(g.estimate(t.Rank)))
		return now.Before(t.Deadline.Add(-max(lucky, responseMargin)))
	}
	return now.Before(g.LatestStart(t))
}

// uncontended reports whether there is a slot for a request that nobody else
// waits for.
func (g *Gate) uncontended(t Ticket) bool {
	others := g.queue.len()
	if others == 1 && g.queue.tickets[0].ID == t.ID {
		others = 0
	}
	return others == 0 && len(g.running) < g.limitFor(t.Rank)
}

// estimate returns the usual latency of a rank.
func (g *Gate) estimate(rank int) time.Duration {
	return time.Duration(g.latency[min(max(rank, 0), rankCount-1)] * float64(time.Second))
}

// LatestStart returns when a request that still waits is to be given up: it
// could not be answered in time, but its caller still hears that it has not run.
func (g *Gate) LatestStart(t Ticket) time.Time {
	return t.Deadline.Add(-max(g.estimate(t.Rank), responseMargin))
}

func (g *Gate) refuse(fx *Effects, id uint64, reason wharfoutcome.Reason) {
	outcome := wharfoutcome.Refuse(reason).WithRetryAfter(g.RetryAfter())
	fx.Refused = append(fx.Refused, Refusal{ID: id, Outcome: outcome})
}
