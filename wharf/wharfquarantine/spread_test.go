package wharfquarantine

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	// deadly is the fingerprint of the request that crashes its targets.
	deadly Fingerprint = 1
	// sampleSize is the number of entries in a gossip message.
	sampleSize = 32
)

// serviceNodes models the nodes of a service, with one target each. A crash is sent to all
// nodes that can be reached; all else is gossip.
type serviceNodes struct {
	lists []*List
	// cut is whether a node can't be reached, and missed whether it has missed a crash
	// or lost what it knew since it last learned of the quarantine.
	cut, missed []bool
	now         time.Time
	rng         *rand.Rand
	next        Fingerprint
	crashes     int
}

func newServiceNodes(n int, rng *rand.Rand) *serviceNodes {
	s := &serviceNodes{lists: make([]*List, n), cut: make([]bool, n), missed: make([]bool, n), now: epoch, rng: rng, next: deadly + 1}
	for i := range s.lists {
		s.lists[i] = &List{}
	}
	return s
}

// inFlight returns the deadly request among others, each of which is sent only once.
func (s *serviceNodes) inFlight(others int) []Fingerprint {
	all := []Fingerprint{deadly}
	for range others {
		all = append(all, s.next)
		s.next++
	}
	return all
}

// send sends the deadly request to a node's target and reports whether it crashed.
func (s *serviceNodes) send(i, others int) bool {
	if _, refused := s.lists[i].Quarantined(s.now, deadly); refused {
		return false
	}
	s.crashes++
	id := CrashID{Target: string(rune('a' + i%26)), Incarnation: uint64(i), Number: s.crashes}
	entries := s.lists[i].RecordCrash(s.now, id, s.inFlight(others))
	for k, l := range s.lists {
		switch {
		case k == i:
		case s.cut[k] || s.cut[i]:
			s.missed[k] = true
		default:
			for _, e := range entries {
				l.Merge(s.now, e)
			}
		}
	}
	return true
}

// gossip exchanges samples between two nodes.
func (s *serviceNodes) gossip(i, k int) {
	if i == k || s.cut[i] || s.cut[k] {
		return
	}
	from, back := s.lists[i].Sample(s.now, s.rng, sampleSize), s.lists[k].Sample(s.now, s.rng, sampleSize)
	for _, e := range from {
		s.lists[k].Merge(s.now, e)
	}
	for _, e := range back {
		s.lists[i].Merge(s.now, e)
	}
}

func (s *serviceNodes) restart(i int) {
	s.lists[i], s.missed[i] = &List{}, true
}

// TestCrashesAfterTheSecondNeedMissedCrash guards against a request that goes on crashing
// targets (incident BUDGET), with any number of other requests in flight and any order of
// sends, partitions, restarts and gossip. While all nodes can be reached and none has
// restarted, two targets crash at most. Otherwise each further crash is at a node that was
// cut off or has restarted, and one node crashes at most twice more for each such event.
func TestCrashesAfterTheSecondNeedMissedCrash(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 16, 96}).Draw(t, "nodes")
		s := newServiceNodes(n, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		node := func() int { return rapid.IntRange(0, n-1).Draw(t, "node") }
		disturbances := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			s.now = s.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"send", "send", "send", "gossip", "cut", "heal", "restart"}).Draw(t, "step") {
			case "send":
				i := node()
				undisturbed := !slices.Contains(s.cut, true) && !slices.Contains(s.missed, true)
				if before := s.crashes; s.send(i, rapid.IntRange(0, 100).Draw(t, "others")) && undisturbed && before >= crashesToQuarantine {
					t.Fatalf("crash %d at node %d, and no node has missed any", s.crashes, i)
				}
			case "gossip":
				s.gossip(node(), node())
			case "cut":
				s.cut[node()] = true
				disturbances++
			case "heal":
				s.cut[node()] = false
			case "restart":
				s.restart(node())
				disturbances++
			}
		}
		if limit := crashesToQuarantine * (1 + disturbances); s.crashes > limit {
			t.Fatalf("%d crashes, %d disturbances", s.crashes, disturbances)
		}
	})
}

// TestQuarantineReachesAllNodes guards against a quarantine that most nodes learn late
// because the crashes left many suspects: with 800 other requests in flight at each crash it
// must be known on all of 96 nodes after three gossip rounds with three peers each.
func TestQuarantineReachesAllNodes(t *testing.T) {
	const (
		nodes, rounds, peers = 96, 3, 3
		others               = 800
	)
	is := is.New(t)
	for seed := range uint64(20) {
		s := newServiceNodes(nodes, rand.New(rand.NewPCG(seed, 2)))
		service := s.lists[:9]
		all := s.lists
		// Only the nodes of the service get the crashes directly.
		s.lists = service
		for i := range crashesToQuarantine {
			is.True(s.send(i, others))
		}
		s.lists = all
		for range rounds {
			for i := range nodes {
				for range peers {
					s.gossip(i, s.rng.IntN(nodes))
				}
			}
		}
		for i, l := range s.lists {
			if _, quarantined := l.Quarantined(s.now, deadly); !quarantined {
				t.Errorf("seed %d: node %d doesn't know", seed, i)
			}
		}
	}
}
