package wharfidempotency

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "ragwortwharf.dev/wharf/internal/wharfseed"
)

// simulation consists of two nodes, a log of ownership records, and one key that
// a caller resends. Each event changes one of them. The simulation counts how
// often targets run the request.
type simulation struct {
	log   []LoggedRecord
	nodes [2]*simulatedNode
	key   KeyID
	now   time.Time
	// firstSent is when the caller first sent the key. The caller doesn't resend
	// the key after the resend window.
	firstSent time.Time
	// effects is how many times targets ran the request.
	effects int
	// uuidKey makes the key a UUIDv7 with the time of the first send.
	uuidKey bool
	// skipConsult makes nodes run a key without consulting its previous owners.
	skipConsult bool
}

// simulatedNode is one VM with its current incarnation.
type simulatedNode struct {
	deduplicator Deduplicator
	// applied is the number of log records that the node has read.
	applied int
	// confirmedAt is the last time at which the node had read the whole log.
	confirmedAt time.Time
	// reachable is false while the node is frozen or disconnected.
	reachable bool
	// catchingUp is true after a freeze until the node has read the whole log.
	catchingUp bool
}

var nodeNames = [2]string{"a", "b"}

// event is one step of the simulation.
type event struct {
	name string
	run  func(s *simulation)
}

var events = []event{
	{"send to a", func(s *simulation) { s.send(0) }},
	{"send to b", func(s *simulation) { s.send(1) }},
	{"a reads", func(s *simulation) { s.read(0) }},
	{"b reads", func(s *simulation) { s.read(1) }},
	{"a dispatches", func(s *simulation) { s.dispatch(0) }},
	{"b dispatches", func(s *simulation) { s.dispatch(1) }},
	{"b announces", func(s *simulation) { s.append(announced("b", s.nodes[1].deduplicator.Self.Incarnation)) }},
	{"a restarts", func(s *simulation) { s.restart(0) }},
	{"a freezes", func(s *simulation) { s.nodes[0].reachable = false }},
	{"a resumes", func(s *simulation) { s.resume(0) }},
	{"a is evicted", func(s *simulation) {
		s.append(OwnershipRecord{Kind: Evict, Node: "a", Incarnation: s.nodes[0].deduplicator.Self.Incarnation})
	}},
	{"a hands over", func(s *simulation) { s.handOver(0) }},
	{"b hands over", func(s *simulation) { s.handOver(1) }},
	{"b restarts", func(s *simulation) { s.restart(1) }},
	{"resend window passes", func(s *simulation) { s.now = s.now.Add(window.Resend + 2*window.Skew) }},
	{"half the resend window passes", func(s *simulation) { s.now = s.now.Add(window.Resend / 2) }},
}

func newSimulation(skipConsult bool) *simulation {
	s := &simulation{now: startTime, skipConsult: skipConsult}
	s.key = KeyID{service, "caller", keyOwnedBy("b", "a", "b")}
	for i, name := range nodeNames {
		s.nodes[i] = &simulatedNode{deduplicator: Deduplicator{Self: Owner{Node: name, Incarnation: 1}, Keys: &KeyStore{}}, reachable: true}
	}
	s.append(announced("a", 1))
	s.read(0)
	s.read(1)
	return s
}

// uuidOwnedBy returns a UUIDv7 with the given time that the node owns if both
// nodes are owners.
func uuidOwnedBy(node string, at time.Time) string {
	owners := []Owner{{Node: nodeNames[0]}, {Node: nodeNames[1]}}
	base := uuidAt(at)
	for i := 0; ; i++ {
		key := fmt.Sprintf("%s%04x", base[:len(base)-4], i)
		if o, _ := rendezvous(owners, key); o.Node == node {
			return key
		}
	}
}

func (s *simulation) append(r OwnershipRecord) {
	s.log = append(s.log, LoggedRecord{r, uint64(len(s.log) + 1), s.now})
}

func (s *simulation) view(n *simulatedNode) OwnershipView {
	return OwnershipView{Table: (*OwnershipTable)(nil).WithRecords(s.log[:n.applied]), ConfirmedAt: n.confirmedAt}
}

func (s *simulation) read(i int) {
	n := s.nodes[i]
	if n.reachable && n.applied < len(s.log) {
		n.applied++
	}
	if n.reachable && n.applied == len(s.log) {
		n.catchingUp, n.confirmedAt = false, s.now
	}
}

// send delivers a request to a node, even if the node isn't the owner.
func (s *simulation) send(i int) {
	n := s.nodes[i]
	if s.firstSent.IsZero() {
		s.firstSent = s.now
		if s.uuidKey {
			s.key.Key = uuidOwnedBy("b", s.now)
		}
	}
	if !n.reachable || n.catchingUp || s.now.Sub(s.firstSent) > window.Resend {
		return
	}
	plan := n.deduplicator.Decide(s.now, s.view(n), s.key, 1, window)
	if plan.Action != Proceed || s.skipConsult {
		return
	}
	for _, previous := range plan.PreviousOwners {
		if s.consult(n, previous).Action != Proceed {
			return
		}
	}
}

// consult asks a previous owner to close the key. The previous owner responds
// unless it is unreachable or a newer incarnation has replaced it.
func (s *simulation) consult(n *simulatedNode, previous Owner) Decision {
	for _, other := range s.nodes {
		if other.deduplicator.Self.Same(previous) && other.reachable {
			return n.deduplicator.Keys.MergePrevious(s.now, s.key, other.deduplicator.Keys.Close(s.now, s.key, uint64(max(n.applied, other.applied))))
		}
	}
	return n.deduplicator.AbortUnreachable(s.key)
}

func (s *simulation) dispatch(i int) {
	n := s.nodes[i]
	if !n.reachable || n.catchingUp {
		return
	}
	if n.deduplicator.TryDispatch(s.now, s.view(n), s.key, window) {
		s.effects++
		n.deduplicator.Keys.Finish(s.now, s.key, &Response{Status: 200, Complete: true})
	}
}

func (s *simulation) restart(i int) {
	n := s.nodes[i]
	n.deduplicator = Deduplicator{Self: Owner{Node: nodeNames[i], Incarnation: n.deduplicator.Self.Incarnation + 1}, Keys: &KeyStore{}}
	n.reachable, n.catchingUp = true, false
	n.applied = 0
	s.append(announced(nodeNames[i], n.deduplicator.Self.Incarnation))
	for n.applied < len(s.log) {
		s.read(i) // a node reads its own announcement before it accepts requests
	}
}

// resume ends the freeze of a node. The node has detected the pause and reads the
// whole log before it accepts or dispatches a request.
func (s *simulation) resume(i int) {
	n := s.nodes[i]
	if n.reachable {
		return
	}
	n.reachable = true
	n.catchingUp = true
}

func (s *simulation) handOver(i int) {
	n := s.nodes[i]
	if !n.reachable || n.catchingUp {
		return
	}
	s.append(OwnershipRecord{Kind: Release, Node: n.deduplicator.Self.Node, Incarnation: n.deduplicator.Self.Incarnation})
	for n.applied < len(s.log) {
		s.read(i)
	}
	next, ok := s.view(n).Table.Owner(service, s.key.Key)
	if !ok {
		return
	}
	for _, other := range s.nodes {
		if !other.deduplicator.Self.Same(next) {
			continue
		}
		if !other.reachable {
			return
		}
		for _, x := range n.deduplicator.Keys.Export() {
			other.deduplicator.Keys.Import(x)
		}
	}
	s.append(OwnershipRecord{Kind: HandedOver, Node: n.deduplicator.Self.Node, Incarnation: n.deduplicator.Self.Incarnation})
	n.reachable = false
}

// permute runs the given events in every order and returns the first order in
// which the request ran more than once, or nil if there is none.
func permute(skipConsult bool, indexes []int) []string {
	var found []string
	var walk func(done int)
	walk = func(done int) {
		if found != nil {
			return
		}
		if done < len(indexes) {
			for i := done; i < len(indexes); i++ {
				indexes[done], indexes[i] = indexes[i], indexes[done]
				walk(done + 1)
				indexes[done], indexes[i] = indexes[i], indexes[done]
			}
			return
		}
		s := newSimulation(skipConsult)
		var names []string
		for _, i := range indexes {
			events[i].run(s)
			names = append(names, events[i].name)
		}
		if s.effects > 1 {
			found = names
		}
	}
	walk(0)
	return found
}

// Indexes into events, which lists them in the same order.
const (
	sendA = iota
	sendB
	readA
	readB
	dispatchA
	dispatchB
	announceB
	restartA
	freezeA
	resumeA
	evictA
	handOverA
	handOverB
)

var scenarios = []struct {
	name   string
	events []int
}{
	{"move", []int{sendA, sendB, readA, readB, dispatchA, dispatchB, announceB, sendB}},
	{"restart", []int{sendA, dispatchA, restartA, sendA, dispatchA, announceB, readB, sendB}},
	{"freeze and eviction", []int{sendA, dispatchA, freezeA, resumeA, evictA, announceB, readB, sendB}},
	{"hand-over", []int{sendA, dispatchA, handOverA, announceB, readB, sendB, dispatchB, readB}},
	{"move and return", []int{announceB, readB, sendB, dispatchB, handOverB, readA, sendA, dispatchA}},
}

// TestNoOrderRunsKeyTwice guards against a second run of a key after its owner
// changed, restarted, froze or handed its entries over. It tries every order of
// the events of each scenario.
func TestNoOrderRunsKeyTwice(t *testing.T) {
	for _, tc := range scenarios {
		t.Run(tc.name, func(t *testing.T) {
			if found := permute(false, tc.events); found != nil {
				t.Fatal(found)
			}
		})
	}
}

// TestSkippingConsultRunsKeyTwice shows that the simulation detects a second run:
// without consulting previous owners, some order runs the key twice.
func TestSkippingConsultRunsKeyTwice(t *testing.T) {
	found := permute(true, scenarios[0].events)
	t.Log(found)
	if found == nil {
		t.Fatal("every order ran the key at most once without consulting previous owners")
	}
}

// TestLongInterleavingsRunKeyOnce runs random sequences of all events. It guards
// against a second run that needs more events than the scenarios above have.
func TestLongInterleavingsRunKeyOnce(t *testing.T) {
	for _, uuidKey := range []bool{false, true} {
		t.Run(fmt.Sprint("time-ordered key ", uuidKey), rapid.MakeCheck(func(t *rapid.T) {
			s := newSimulation(false)
			s.uuidKey = uuidKey
			var names []string
			for range rapid.IntRange(5, 40).Draw(t, "length") {
				e := events[rapid.IntRange(0, len(events)-1).Draw(t, "event")]
				names = append(names, e.name)
				e.run(s)
				if s.effects > 1 {
					t.Fatal(fmt.Sprint(names))
				}
			}
		}))
	}
}
