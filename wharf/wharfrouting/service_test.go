package wharfrouting

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ragwortwharf.dev/wharf/wharfadmission"
	"ragwortwharf.dev/wharf/wharfbudget"
	"ragwortwharf.dev/wharf/wharfoutcome"
)

const (
	// futileAttempts is how many attempts may be refused at once before the
	// refusal is final. One that was let in and gave way later isn't counted.
	futileAttempts = 2
	serviceRoute   = "x"
)

// slots is a limit that doesn't move.
type slots int

func (n slots) Limit() int                                 { return int(n) }
func (slots) Observe(_ time.Time, _ wharfadmission.Sample) {}

// sent is a request on its way through a service.
type sent struct {
	wharfadmission.Ticket
	tried []string
	// futile counts the attempts that were refused at once.
	futile int
}

// service is a sender with the gates of all targets of a service. The sender
// hears of each change at once.
type service struct {
	now      time.Time
	levels   bool
	rng      *rand.Rand
	balancer *Balancer
	gates    []*wharfadmission.Gate
	waiting  []map[uint64]sent
	running  []map[uint64]sent
	// retry decides whether a refused request is sent on.
	retry func(s *service, r Request, o wharfoutcome.Outcome) bool
}

func newService(targets, limit int, levels bool) *service {
	s := &service{now: epoch, levels: levels, rng: newRand(), balancer: newTestBalancer(targets), retry: retryInService}
	for range targets {
		s.gates = append(s.gates, wharfadmission.NewGate(wharfadmission.Config{Limiter: slots(limit), Levels: levels}))
		s.waiting = append(s.waiting, map[uint64]sent{})
		s.running = append(s.running, map[uint64]sent{})
	}
	return s
}

// retryInService is the decision of the product.
func retryInService(s *service, r Request, o wharfoutcome.Outcome) bool {
	return wharfbudget.MayRetry(wharfbudget.Failure{
		Outcome:       o,
		NoAlternative: !s.balancer.HasLowerPriorityQueued(s.now, r) && !s.balancer.HasCapacity(s.now, r),
	})
}

// send sends a request, and those that it displaces, until each runs, waits or
// is refused for good. It returns the first fault.
func (s *service) send(first sent) error {
	moving := []sent{first}
	for len(moving) > 0 {
		x := moving[0]
		moving = moving[1:]
		displaced, err := s.attempt(x)
		if err != nil {
			return err
		}
		moving = append(moving, displaced...)
	}
	return nil
}

func (s *service) request(x sent) Request {
	return Request{
		Route: serviceRoute, Rank: x.Rank, Priority: x.Priority, Tried: x.tried,
		ExposureLimit: ExposureLimit{Fingerprint: x.ID + 1},
	}
}

// attempt makes one attempt and returns the requests that have to be sent on.
func (s *service) attempt(x sent) ([]sent, error) {
	target, reason := s.balancer.Pick(s.now, s.rng, s.request(x))
	if reason != wharfoutcome.ReasonNone {
		return nil, s.judge(x)
	}
	x.tried = append(x.tried, target.Address)
	i := s.index(target.Address)
	x.futile++
	s.waiting[i][x.ID] = x
	fx := s.gates[i].Offer(s.now, x.Ticket)
	if !refuses(fx, x.ID) {
		x.futile--
		s.waiting[i][x.ID] = x
	}
	return s.apply(i, fx)
}

func refuses(fx wharfadmission.Effects, id uint64) bool {
	return slices.ContainsFunc(fx.Refused, func(r wharfadmission.Refusal) bool { return r.ID == id })
}

// finish ends the oldest running request of a target.
func (s *service) finish(i int) error {
	oldest, found := uint64(0), false
	for id := range s.running[i] {
		if !found || id < oldest {
			oldest, found = id, true
		}
	}
	if !found {
		return nil
	}
	delete(s.running[i], oldest)
	moving, err := s.apply(i, s.gates[i].Finish(s.now, oldest, 20*time.Millisecond, wharfadmission.Answered))
	for _, x := range moving {
		if err == nil {
			err = s.send(x)
		}
	}
	return err
}

func (s *service) apply(i int, fx wharfadmission.Effects) ([]sent, error) {
	for _, id := range fx.Run {
		s.running[i][id] = s.waiting[i][id]
		delete(s.waiting[i], id)
	}
	s.report(i)
	var moving []sent
	for _, r := range fx.Refused {
		x := s.waiting[i][r.ID]
		delete(s.waiting[i], r.ID)
		if x.futile < futileAttempts && s.retry(s, s.request(x), r.Outcome) {
			moving = append(moving, x)
			continue
		}
		if err := s.judge(x); err != nil {
			return nil, err
		}
	}
	return moving, nil
}

// report tells the sender of the load of a target.
func (s *service) report(i int) {
	l := s.gates[i].Load()
	address := fmt.Sprint("t", i)
	s.balancer.Observe(s.now, address, serviceRoute, Refused, 0, &LoadReport{
		Running: l.Running, Queued: l.Queued, Limit: l.Limit, RouteLevel: l.Level,
		LowestRank: max(l.LowestRank, 0), QueueRoom: l.QueueRoom,
	})
}

func (s *service) index(address string) int {
	for i := range s.gates {
		if fmt.Sprint("t", i) == address {
			return i
		}
	}
	panic("no target " + address)
}

// judge checks a request that was refused for good against the targets that it
// wasn't sent to: an attempt never goes to the same target twice. A level that
// is still opening may refuse although there is room.
func (s *service) judge(x sent) error {
	for i, waiting := range s.waiting {
		if slices.Contains(x.tried, fmt.Sprint("t", i)) {
			continue
		}
		if !s.levels && s.gates[i].Load().QueueRoom > 0 {
			return fmt.Errorf("rank %d was refused while target %d has room", x.Rank, i)
		}
		for _, other := range waiting {
			if other.Rank > x.Rank {
				return fmt.Errorf("rank %d was refused after %v while rank %d waits at target %d", x.Rank, x.tried, other.Rank, i)
			}
		}
	}
	return nil
}

// drive brings random requests and ends.
func (s *service) drive(t *rapid.T) error {
	for i := range rapid.IntRange(1, 150).Draw(t, "events") {
		s.now = s.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * time.Millisecond)
		for j := range s.gates {
			s.report(j)
		}
		var err error
		if rapid.IntRange(0, 4).Draw(t, "event") == 0 {
			err = s.finish(rapid.IntRange(0, len(s.gates)-1).Draw(t, "target"))
		} else {
			rank := rapid.IntRange(0, 3).Draw(t, "rank")
			err = s.send(sent{Ticket: wharfadmission.Ticket{
				ID: uint64(i), Rank: rank, Arrived: s.now, Deadline: epoch.Add(time.Hour),
				Priority: wharfadmission.PriorityOf(rank, uint64(rapid.IntRange(0, 127).Draw(t, "hash"))),
			}})
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func drawService(t *rapid.T) *service {
	return newService(rapid.IntRange(1, 6).Draw(t, "targets"), rapid.IntRange(1, 3).Draw(t, "limit"), rapid.Bool().Draw(t, "levels"))
}

func TestServiceShedsTheLeastImportant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := drawService(t).drive(t); err != nil {
			t.Fatal(err)
		}
	})
}

// TestRefusalOfOneTargetBreaksOrder shows that the property above has teeth: it
// takes the refusal of one target for that of the service.
func TestRefusalOfOneTargetBreaksOrder(t *testing.T) {
	broken := 0
	rapid.Check(t, func(t *rapid.T) {
		s := drawService(t)
		s.retry = func(*service, Request, wharfoutcome.Outcome) bool { return false }
		if s.drive(t) != nil {
			broken++
		}
	})
	is.New(t).True(broken > 0)
}
