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

// witness drives a gate and checks what must hold after each event.
type witness struct {
	gate    *Gate
	limit   int
	waiting map[uint64]Ticket
	running map[uint64]Ticket
	ended   int
}

var errInvariant = errors.New("invariant broken")

func newWitness(order Order, levels bool, limit int) *witness {
	return &witness{
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

func (w *witness) apply(now time.Time, fx Effects) error {
	for _, id := range fx.Run {
		t, ok := w.waiting[id]
		if !ok || !t.Deadline.After(now) {
			return fmt.Errorf("%w: %d ran without waiting or after its deadline", errInvariant, id)
		}
		delete(w.waiting, id)
		w.running[id] = t
	}
	for _, r := range fx.Refused {
		t, ok := w.waiting[r.ID]
		if !ok {
			return fmt.Errorf("%w: %d ended twice", errInvariant, r.ID)
		}
		delete(w.waiting, r.ID)
		w.ended++
		if r.Outcome.RetryAfter <= 0 || r.Outcome.Kind != wharfoutcome.NotRun {
			return fmt.Errorf("%w: %d was refused with %v", errInvariant, r.ID, r.Outcome)
		}
		for _, other := range w.waiting {
			if r.Outcome.Reason == wharfoutcome.ReasonOverload && other.Rank > t.Rank {
				return fmt.Errorf("%w: rank %d was shed while rank %d waits", errInvariant, t.Rank, other.Rank)
			}
		}
	}
	if len(w.running) > w.limit {
		return fmt.Errorf("%w: %d run under a limit of %d", errInvariant, len(w.running), w.limit)
	}
	if got := w.gate.Load(); got.Running != len(w.running) || got.Queued != len(w.waiting) {
		return fmt.Errorf("%w: %+v with %d running and %d waiting", errInvariant, got, len(w.running), len(w.waiting))
	}
	return nil
}

// least returns the least id of some tickets, so that runs can be repeated.
func least(tickets map[uint64]Ticket) (uint64, bool) {
	first, found := uint64(0), false
	for id := range tickets {
		if !found || id < first {
			first, found = id, true
		}
	}
	return first, found
}

// step draws one event and checks its effects.
func (w *witness) step(t *rapid.T, i int, now time.Time) error {
	switch rapid.IntRange(0, 5).Draw(t, "event") {
	case 0:
		id, ok := least(w.running)
		if !ok {
			return nil
		}
		delete(w.running, id)
		w.ended++
		latency := time.Duration(rapid.IntRange(1, 200).Draw(t, "latency")) * time.Millisecond
		return w.apply(now, w.gate.Finish(now, id, latency, Answered))
	case 1:
		id, ok := least(w.waiting)
		if !ok {
			return nil
		}
		delete(w.waiting, id)
		w.ended++
		if !w.gate.Cancel(id) {
			return fmt.Errorf("%w: %d waited and could not be withdrawn", errInvariant, id)
		}
		return w.apply(now, Effects{})
	default:
		rank := rapid.IntRange(0, 3).Draw(t, "rank")
		ticket := Ticket{
			ID: uint64(i), Rank: rank, Depth: rapid.IntRange(0, 3).Draw(t, "depth"),
			Priority: PriorityOf(rank, uint64(rapid.IntRange(0, 127).Draw(t, "hash"))),
			Arrived:  now,
			Deadline: now.Add(time.Duration(rapid.IntRange(-5, 1000).Draw(t, "left")) * time.Millisecond),
		}
		w.waiting[ticket.ID] = ticket
		return w.apply(now, w.gate.Offer(now, ticket))
	}
}

func drive(t *rapid.T, order Order) error {
	w := newWitness(order, rapid.Bool().Draw(t, "levels"), rapid.IntRange(1, 6).Draw(t, "limit"))
	now := epoch
	for i := range rapid.IntRange(1, 120).Draw(t, "events") {
		now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond)
		if err := w.step(t, i, now); err != nil {
			return err
		}
	}
	return nil
}

func TestGateInvariants(t *testing.T) {
	for _, order := range []Order{Adaptive, FIFO} {
		t.Run(fmt.Sprint(order), rapid.MakeCheck(func(t *rapid.T) {
			if err := drive(t, order); err != nil {
				t.Fatal(err)
			}
		}))
	}
}

// TestArrivalOrderBreaksInvariant shows that the property above has teeth.
func TestArrivalOrderBreaksInvariant(t *testing.T) {
	is := is.New(t)
	w := newWitness(Arrival, false, 1)
	var err error
	for i := range 20 {
		ticket := Ticket{ID: uint64(i), Rank: 3, Arrived: epoch.Add(time.Duration(i)), Deadline: epoch.Add(time.Hour)}
		if i == 19 {
			ticket.Rank = 0
		}
		w.waiting[ticket.ID] = ticket
		err = errors.Join(err, w.apply(epoch, w.gate.Offer(epoch, ticket)))
	}
	is.True(errors.Is(err, errInvariant))
}

func TestDeepWorkGoesFirst(t *testing.T) {
	is := is.New(t)
	g := NewGate(Config{Limiter: fixedLimit(1)})
	deadline := epoch.Add(time.Minute)
	g.Offer(epoch, Ticket{ID: 1, Deadline: deadline, Arrived: epoch})
	g.Offer(epoch, Ticket{ID: 2, Depth: 0, Deadline: deadline, Arrived: epoch})
	g.Offer(epoch, Ticket{ID: 3, Depth: 4, Deadline: deadline, Arrived: epoch.Add(1)})
	is.Equal(g.Finish(epoch, 1, time.Millisecond, Answered).Run, []uint64{3})
}

func TestWaitEndsWhileTheCallerListens(t *testing.T) {
	is := is.New(t)
	g := NewGate(Config{Limiter: fixedLimit(1)})
	deadline := epoch.Add(time.Second)
	is.Equal(g.LatestStart(Ticket{Deadline: deadline}), deadline.Add(-responseMargin))
	g.Offer(epoch, Ticket{ID: 1, Deadline: deadline})
	g.Finish(epoch.Add(300*time.Millisecond), 1, 300*time.Millisecond, Answered)
	is.Equal(g.LatestStart(Ticket{Deadline: deadline}), deadline.Add(-300*time.Millisecond))
}

// TestFreeSlotIsTriedWithLittleTimeLeft is the pattern of calls that come late
// to a target with room, while latencies are spread widely.
func TestFreeSlotIsTriedWithLittleTimeLeft(t *testing.T) {
	is := is.New(t)
	g := NewGate(Config{Limiter: fixedLimit(2)})
	g.Offer(epoch, Ticket{ID: 1, Deadline: epoch.Add(time.Minute)})
	now := epoch.Add(time.Second)
	g.Finish(now, 1, time.Second, Answered) // a request takes a second
	g.Offer(now, Ticket{ID: 2, Deadline: now.Add(time.Minute)})
	is.Equal(len(g.Offer(now, Ticket{ID: 3, Deadline: now.Add(400 * time.Millisecond)}).Refused), 1)
	is.Equal(g.Offer(now, Ticket{ID: 4, Deadline: now.Add(600 * time.Millisecond)}).Run, []uint64{4})
	// Where slots are short, they go to those that end in time as a rule.
	is.Equal(len(g.Offer(now, Ticket{ID: 5, Deadline: now.Add(600 * time.Millisecond)}).Refused), 1)
}

func TestReserveStaysOpen(t *testing.T) {
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
		g.Finish(now, uint64(i), 100*time.Millisecond, Answered)
	}
	// Ten requests a second drain; with nothing waiting a slot is 100 ms away.
	advice := g.RetryAfter()
	is.True(advice > 80*time.Millisecond && advice < 130*time.Millisecond)
}

func BenchmarkGate(b *testing.B) {
	g := NewGate(Config{Limiter: NewAIMD(100), Levels: true, Rand: rand.New(rand.NewPCG(1, 2))})
	b.ReportAllocs()
	now := epoch
	for i := uint64(0); b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		g.Offer(now, Ticket{ID: i, Priority: PriorityOf(1, i), Deadline: now.Add(time.Second)})
		g.Finish(now, i, time.Millisecond, Answered)
	}
}
