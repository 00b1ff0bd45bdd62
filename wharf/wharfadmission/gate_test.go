package wharfadmission

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "ragwortwharf.dev/wharf/internal/wharfseed"
	"ragwortwharf.dev/wharf/wharfoutcome"
)

var epoch = time.Unix(0, 0)

type fixedLimit int

func (f fixedLimit) Limit() int              { return int(f) }
func (fixedLimit) Observe(time.Time, Sample) {}

// gateChecker sends events to a gate and checks its invariants after each one.
type gateChecker struct {
	gate    *Gate
	limit   int
	waiting map[uint64]Ticket
	running map[uint64]Ticket
	ended   int
}

var errInvariant = errors.New("invariant violated")

func newGateChecker(order Order, levels bool, limit int) *gateChecker {
	return &gateChecker{
		gate: NewGate(Config{
			Limiter: fixedLimit(limit), Order: order, Levels: levels,
			Reserves: []Reserve{{Rank: 0, Share: 0.2}},
			Rand:     rand.New(rand.NewPCG(1, 2)),
		}),
		limit:   limit,
		waiting: map[uint64]Ticket{},
		running: map[uint64]Ticket{},
	}
}

func (c *gateChecker) apply(now time.Time, fx Effects) error {
	for _, id := range fx.Run {
		t, ok := c.waiting[id]
		if !ok || !t.Deadline.After(now) {
			return fmt.Errorf("%w: request %d ran without waiting or after its deadline", errInvariant, id)
		}
		delete(c.waiting, id)
		c.running[id] = t
	}
	for _, r := range fx.Refused {
		t, ok := c.waiting[r.ID]
		if !ok {
			return fmt.Errorf("%w: request %d was refused without waiting", errInvariant, r.ID)
		}
		delete(c.waiting, r.ID)
		c.ended++
		if r.Outcome.RetryAfter <= 0 || r.Outcome.Kind != wharfoutcome.NotRun {
			return fmt.Errorf("%w: request %d was refused with %v", errInvariant, r.ID, r.Outcome)
		}
		for _, other := range c.waiting {
			if r.Outcome.Reason == wharfoutcome.ReasonOverload && other.Rank > t.Rank {
				return fmt.Errorf("%w: rank %d was shed while rank %d waits", errInvariant, t.Rank, other.Rank)
			}
		}
	}
	if len(c.running) > c.limit {
		return fmt.Errorf("%w: %d requests run under a limit of %d", errInvariant, len(c.running), c.limit)
	}
	if got := c.gate.Load(); got.Running != len(c.running) || got.Queued != len(c.waiting) {
		return fmt.Errorf("%w: load %+v with %d running and %d waiting requests", errInvariant, got, len(c.running), len(c.waiting))
	}
	return nil
}

// smallestID returns the smallest id of some tickets, so that runs are reproducible.
func smallestID(tickets map[uint64]Ticket) (uint64, bool) {
	first, found := uint64(0), false
	for id := range tickets {
		if !found || id < first {
			first, found = id, true
		}
	}
	return first, found
}

// step draws one event, sends it to the gate and checks the effects.
func (c *gateChecker) step(t *rapid.T, i int, now time.Time) error {
	switch rapid.IntRange(0, 5).Draw(t, "event") {
	case 0:
		id, ok := smallestID(c.running)
		if !ok {
			return nil
		}
		delete(c.running, id)
		c.ended++
		latency := time.Duration(rapid.IntRange(1, 200).Draw(t, "latency")) * time.Millisecond
		return c.apply(now, c.gate.Finish(now, id, latency, Responded))
	case 1:
		id, ok := smallestID(c.waiting)
		if !ok {
			return nil
		}
		delete(c.waiting, id)
		c.ended++
		if !c.gate.Cancel(id) {
			return fmt.Errorf("%w: request %d waited and could not be cancelled", errInvariant, id)
		}
		return c.apply(now, Effects{})
	default:
		rank := rapid.IntRange(0, 3).Draw(t, "rank")
		ticket := Ticket{
			ID: uint64(i), Rank: rank, Depth: rapid.IntRange(0, 3).Draw(t, "depth"),
			Priority: PriorityOf(rank, uint64(rapid.IntRange(0, 127).Draw(t, "hash"))),
			Arrived:  now,
			Deadline: now.Add(time.Duration(rapid.IntRange(-5, 1000).Draw(t, "left")) * time.Millisecond),
		}
		c.waiting[ticket.ID] = ticket
		return c.apply(now, c.gate.Offer(now, ticket))
	}
}

// runRandomEvents sends a random sequence of events to a new gate.
func runRandomEvents(t *rapid.T, order Order) error {
	c := newGateChecker(order, rapid.Bool().Draw(t, "levels"), rapid.IntRange(1, 6).Draw(t, "limit"))
	now := epoch
	for i := range rapid.IntRange(1, 120).Draw(t, "events") {
		now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond)
		if err := c.step(t, i, now); err != nil {
			return err
		}
	}
	return nil
}

func TestGateInvariants(t *testing.T) {
	for _, order := range []Order{Adaptive, FIFO} {
		t.Run(fmt.Sprint(order), rapid.MakeCheck(func(t *rapid.T) {
			if err := runRandomEvents(t, order); err != nil {
				t.Fatal(err)
			}
		}))
	}
}

// TestArrivalOrderBreaksInvariant checks that the invariants can fail: an order that
// ignores the rank violates them.
func TestArrivalOrderBreaksInvariant(t *testing.T) {
	is := is.New(t)
	c := newGateChecker(ArrivalOrder, false, 1)
	var err error
	for i := range 20 {
		ticket := Ticket{ID: uint64(i), Rank: 3, Arrived: epoch.Add(time.Duration(i)), Deadline: epoch.Add(time.Hour)}
		if i == 19 {
			ticket.Rank = 0
		}
		c.waiting[ticket.ID] = ticket
		err = errors.Join(err, c.apply(epoch, c.gate.Offer(epoch, ticket)))
	}
	is.True(errors.Is(err, errInvariant))
}

// TestDeeperRequestRunsFirst guards against wasting the work that other hops have
// already done for a user request.
func TestDeeperRequestRunsFirst(t *testing.T) {
	is := is.New(t)
	g := NewGate(Config{Limiter: fixedLimit(1)})
	deadline := epoch.Add(time.Minute)
	g.Offer(epoch, Ticket{ID: 1, Deadline: deadline, Arrived: epoch})
	g.Offer(epoch, Ticket{ID: 2, Depth: 0, Deadline: deadline, Arrived: epoch})
	g.Offer(epoch, Ticket{ID: 3, Depth: 4, Deadline: deadline, Arrived: epoch.Add(1)})
	is.Equal(g.Finish(epoch, 1, time.Millisecond, Responded).Run, []uint64{3})
}

// TestLatestStartLeavesTimeForRefusal guards against a refusal that reaches the
// caller only after the deadline.
func TestLatestStartLeavesTimeForRefusal(t *testing.T) {
	is := is.New(t)
	g := NewGate(Config{Limiter: fixedLimit(1)})
	deadline := epoch.Add(time.Second)
	is.Equal(g.LatestStart(Ticket{Deadline: deadline}), deadline.Add(-responseMargin))
	g.Offer(epoch, Ticket{ID: 1, Deadline: deadline})
	g.Finish(epoch.Add(300*time.Millisecond), 1, 300*time.Millisecond, Responded)
	is.Equal(g.LatestStart(Ticket{Deadline: deadline}), deadline.Add(-300*time.Millisecond))
}

// TestFreeSlotAdmitsRequestWithLittleTimeLeft guards against idle slots: latencies
// vary widely, and a request with less time left than the usual latency may still
// finish before its deadline.
func TestFreeSlotAdmitsRequestWithLittleTimeLeft(t *testing.T) {
	is := is.New(t)
	g := NewGate(Config{Limiter: fixedLimit(2)})
	g.Offer(epoch, Ticket{ID: 1, Deadline: epoch.Add(time.Minute)})
	now := epoch.Add(time.Second)
	g.Finish(now, 1, time.Second, Responded) // a request takes a second
	g.Offer(now, Ticket{ID: 2, Deadline: now.Add(time.Minute)})
	is.Equal(len(g.Offer(now, Ticket{ID: 3, Deadline: now.Add(400 * time.Millisecond)}).Refused), 1)
	is.Equal(g.Offer(now, Ticket{ID: 4, Deadline: now.Add(600 * time.Millisecond)}).Run, []uint64{4})
	// Without a free slot, a request must have the whole usual latency left.
	is.Equal(len(g.Offer(now, Ticket{ID: 5, Deadline: now.Add(600 * time.Millisecond)}).Refused), 1)
}

func TestReserveIsKeptForItsRank(t *testing.T) {
	is := is.New(t)
	g := NewGate(Config{Limiter: fixedLimit(10), Reserves: []Reserve{{Rank: 0, Share: 0.3}}})
	ran := 0
	for i := range 20 {
		ran += len(g.Offer(epoch, Ticket{ID: uint64(i), Rank: 5, Deadline: epoch.Add(time.Second)}).Run)
	}
	is.Equal(ran, 7)
	is.Equal(len(g.Offer(epoch, Ticket{ID: 99, Rank: 0, Deadline: epoch.Add(time.Second)}).Run), 1)
}

func TestRetryAfterFollowsDrainRate(t *testing.T) {
	is := is.New(t)
	g := NewGate(Config{Limiter: fixedLimit(1)})
	now := epoch
	for i := range 40 {
		g.Offer(now, Ticket{ID: uint64(i), Deadline: now.Add(time.Second)})
		now = now.Add(100 * time.Millisecond)
		g.Finish(now, uint64(i), 100*time.Millisecond, Responded)
	}
	// The target finishes ten requests a second, so with an empty queue the next
	// slot is free in 100 ms.
	hint := g.RetryAfter()
	is.True(hint > 80*time.Millisecond && hint < 130*time.Millisecond)
}

func BenchmarkGate(b *testing.B) {
	g := NewGate(Config{Limiter: NewAIMD(100), Levels: true, Rand: rand.New(rand.NewPCG(1, 2))})
	b.ReportAllocs()
	now := epoch
	for i := uint64(0); b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		g.Offer(now, Ticket{ID: i, Priority: PriorityOf(1, i), Deadline: now.Add(time.Second)})
		g.Finish(now, i, time.Millisecond, Responded)
	}
}

// TestCapacityIsSteady guards against a capacity that follows the last few requests. A target with
// 74 slots finishes thousands of requests a second, of which a tenth takes nine times as long as the
// others. What the target can serve doesn't change, so that the estimate mustn't swing either.
func TestCapacityIsSteady(t *testing.T) {
	is := is.New(t)
	const slots = 74
	rng := rand.New(rand.NewPCG(1, 2))
	g := NewGate(Config{Limiter: NewFixed(slots)})
	start := epoch.Add(time.Second)
	ends := map[time.Time][]uint64{}
	durations := map[uint64]time.Duration{}
	started := func(now time.Time, fx Effects) {
		for _, id := range fx.Run {
			durations[id] = 10 * time.Millisecond
			if rng.Float64() < 0.1 {
				durations[id] = 90 * time.Millisecond
			}
			ends[now.Add(durations[id])] = append(ends[now.Add(durations[id])], id)
		}
	}
	const mean = (0.9*10 + 0.1*90) / 1000
	capacity := slots / mean
	lowest, highest := capacity, capacity
	id := uint64(0)
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(time.Millisecond) {
		for _, end := range ends[now] {
			started(now, g.Finish(now, end, durations[end], Responded))
		}
		delete(ends, now)
		for g.Load().Queued < slots {
			id++
			started(now, g.Offer(now, Ticket{ID: id, Arrived: now, Deadline: now.Add(time.Minute)}))
		}
		if now.Sub(start) > time.Second && now.Sub(start)%delayWindow == 0 {
			lowest, highest = min(lowest, g.CapacityPerSecond()), max(highest, g.CapacityPerSecond())
		}
	}
	t.Logf("estimates from %.0f to %.0f of %.0f requests a second", lowest, highest, capacity)
	is.True(lowest > 0.7*capacity)
	is.True(highest < 1.4*capacity)
}
