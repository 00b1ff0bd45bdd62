package wharfidempotency

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "ragwortwharf.dev/wharf/internal/wharfseed"
)

// world is two nodes, a log of ownership records, and one key that a caller
// resends. Each event moves one part; the check counts the effects.
type world struct {
	log   []LoggedRecord
	nodes [2]*worldNode
	key   KeyID
	now   time.Time
	// firstSent is when the caller first sent the key; it resends no later
	// than the horizon allows.
	firstSent time.Time
	effects   int
	// minted makes the key a UUIDv7 of the time of the first send.
	minted bool
	// naive leaves out the questions to earlier homes.
	naive bool
}

// worldNode is one VM: its present life, and how far it has read the log.
type worldNode struct {
	home Deduplicator
	read int
	// fresh is when it had read the whole log.
	fresh time.Time
	// reachable is false while the node is frozen or cut off.
	reachable bool
	// behind says that the node was frozen and hasn't caught up since.
	behind bool
}

var nodeNames = [2]string{"a", "b"}

// event is one thing that can happen.
type event struct {
	name string
	run  func(w *world)
}

var events = []event{
	{"send to a", func(w *world) { w.send(0) }},
	{"send to b", func(w *world) { w.send(1) }},
	{"a reads", func(w *world) { w.read(0) }},
	{"b reads", func(w *world) { w.read(1) }},
	{"a dispatches", func(w *world) { w.dispatch(0) }},
	{"b dispatches", func(w *world) { w.dispatch(1) }},
	{"b announces", func(w *world) { w.append(announced("b", w.nodes[1].home.Self.Incarnation)) }},
	{"a restarts", func(w *world) { w.restart(0) }},
	{"a freezes", func(w *world) { w.nodes[0].reachable = false }},
	{"a wakes", func(w *world) { w.wake(0) }},
	{"a is evicted", func(w *world) {
		w.append(OwnershipRecord{Kind: Evict, Node: "a", Incarnation: w.nodes[0].home.Self.Incarnation})
	}},
	{"a hands over", func(w *world) { w.handOver(0) }},
	{"b hands over", func(w *world) { w.handOver(1) }},
	{"b restarts", func(w *world) { w.restart(1) }},
	{"horizon passes", func(w *world) { w.now = w.now.Add(horizon.Resend + 2*horizon.Skew) }},
	{"half the horizon passes", func(w *world) { w.now = w.now.Add(horizon.Resend / 2) }},
}

func newWorld(naive bool) *world {
	w := &world{now: epoch, naive: naive}
	w.key = KeyID{service, "caller", keyOf("b", "a", "b")}
	for i, name := range nodeNames {
		w.nodes[i] = &worldNode{home: Deduplicator{Self: Owner{Node: name, Incarnation: 1}, Keys: &KeyStore{}}, reachable: true}
	}
	w.append(announced("a", 1))
	w.read(0)
	w.read(1)
	return w
}

// mintedKeyOf returns a UUIDv7 of a time whose home among both nodes is given.
func mintedKeyOf(node string, at time.Time) string {
	owners := []Owner{{Node: nodeNames[0]}, {Node: nodeNames[1]}}
	base := keyMintedAt(at)
	for i := 0; ; i++ {
		key := fmt.Sprintf("%s%04x", base[:len(base)-4], i)
		if o, _ := rendezvous(owners, key); o.Node == node {
			return key
		}
	}
}

func (w *world) append(r OwnershipRecord) {
	w.log = append(w.log, LoggedRecord{r, uint64(len(w.log) + 1), w.now})
}

func (w *world) view(n *worldNode) OwnershipView {
	return OwnershipView{Table: (*OwnershipTable)(nil).WithRecords(w.log[:n.read]), ConfirmedAt: n.fresh}
}

func (w *world) read(i int) {
	n := w.nodes[i]
	if n.reachable && n.read < len(w.log) {
		n.read++
	}
	if n.reachable && n.read == len(w.log) {
		n.behind, n.fresh = false, w.now
	}
}

// send delivers a request to a node, whatever the sender believes.
func (w *world) send(i int) {
	n := w.nodes[i]
	if w.firstSent.IsZero() {
		w.firstSent = w.now
		if w.minted {
			w.key.Key = mintedKeyOf("b", w.now)
		}
	}
	if !n.reachable || n.behind || w.now.Sub(w.firstSent) > horizon.Resend {
		return
	}
	plan := n.home.Decide(w.now, w.view(n), w.key, 1, horizon)
	if plan.Action != Proceed || w.naive {
		return
	}
	for _, earlier := range plan.PreviousOwners {
		if w.consult(n, earlier).Action != Proceed {
			return
		}
	}
}

// consult asks the earlier home; it answers unless frozen or replaced.
func (w *world) consult(n *worldNode, earlier Owner) Decision {
	for _, other := range w.nodes {
		if other.home.Self.Same(earlier) && other.reachable {
			return n.home.Keys.MergePrevious(w.now, w.key, other.home.Keys.Close(w.now, w.key, uint64(max(n.read, other.read))))
		}
	}
	return n.home.PreviousUnreachable(w.key)
}

func (w *world) dispatch(i int) {
	n := w.nodes[i]
	if !n.reachable || n.behind {
		return
	}
	if n.home.TryDispatch(w.now, w.view(n), w.key, horizon) {
		w.effects++
		n.home.Keys.Finish(w.now, w.key, &Response{Status: 200, Complete: true})
	}
}

func (w *world) restart(i int) {
	n := w.nodes[i]
	n.home = Deduplicator{Self: Owner{Node: nodeNames[i], Incarnation: n.home.Self.Incarnation + 1}, Keys: &KeyStore{}}
	n.reachable, n.behind = true, false
	n.read = 0
	w.append(announced(nodeNames[i], n.home.Self.Incarnation))
	for n.read < len(w.log) {
		w.read(i) // a node reads its own announcement before it takes requests
	}
}

// wake lets a frozen node go on. It has noticed the pause and catches up
// before it takes or dispatches anything.
func (w *world) wake(i int) {
	n := w.nodes[i]
	if n.reachable {
		return
	}
	n.reachable = true
	n.behind = true
}

func (w *world) handOver(i int) {
	n := w.nodes[i]
	if !n.reachable || n.behind {
		return
	}
	w.append(OwnershipRecord{Kind: Release, Node: n.home.Self.Node, Incarnation: n.home.Self.Incarnation})
	for n.read < len(w.log) {
		w.read(i)
	}
	next, ok := w.view(n).Table.Owner(service, w.key.Key)
	if !ok {
		return
	}
	for _, other := range w.nodes {
		if !other.home.Self.Same(next) {
			continue
		}
		if !other.reachable {
			return
		}
		for _, x := range n.home.Keys.Export() {
			other.home.Keys.Import(x)
		}
	}
	w.append(OwnershipRecord{Kind: HandedOver, Node: n.home.Self.Node, Incarnation: n.home.Self.Incarnation})
	n.reachable = false
}

// permute runs every order of some events and returns the first order that
// has more than one effect.
func permute(naive bool, chosen []int) []string {
	var found []string
	var walk func(done int)
	walk = func(done int) {
		if found != nil {
			return
		}
		if done < len(chosen) {
			for i := done; i < len(chosen); i++ {
				chosen[done], chosen[i] = chosen[i], chosen[done]
				walk(done + 1)
				chosen[done], chosen[i] = chosen[i], chosen[done]
			}
			return
		}
		w := newWorld(naive)
		var names []string
		for _, i := range chosen {
			events[i].run(w)
			names = append(names, events[i].name)
		}
		if w.effects > 1 {
			found = names
		}
	}
	walk(0)
	return found
}

// Indexes of events.
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
	wakeA
	evictA
	handOverA
	handOverB
)

var criticalEvents = []struct {
	name   string
	events []int
}{
	{"move", []int{sendA, sendB, readA, readB, dispatchA, dispatchB, announceB, sendB}},
	{"restart", []int{sendA, dispatchA, restartA, sendA, dispatchA, announceB, readB, sendB}},
	{"freeze and eviction", []int{sendA, dispatchA, freezeA, wakeA, evictA, announceB, readB, sendB}},
	{"hand-over", []int{sendA, dispatchA, handOverA, announceB, readB, sendB, dispatchB, readB}},
	{"there and back", []int{announceB, readB, sendB, dispatchB, handOverB, readA, sendA, dispatchA}},
}

func TestNoOrderRunsKeyTwice(t *testing.T) {
	for _, tc := range criticalEvents {
		t.Run(tc.name, func(t *testing.T) {
			if found := permute(false, tc.events); found != nil {
				t.Fatal(found)
			}
		})
	}
}

// TestWithoutQuestionsSomeOrderRunsKeyTwice shows that the checks have teeth.
func TestWithoutQuestionsSomeOrderRunsKeyTwice(t *testing.T) {
	found := permute(true, criticalEvents[0].events)
	t.Log(found)
	if found == nil {
		t.Fatal("the naive home ran every key once")
	}
}

func TestLongInterleavingsRunKeyOnce(t *testing.T) {
	for _, minted := range []bool{false, true} {
		t.Run(fmt.Sprint("time-ordered key ", minted), rapid.MakeCheck(func(t *rapid.T) {
			w := newWorld(false)
			w.minted = minted
			var names []string
			for range rapid.IntRange(5, 40).Draw(t, "length") {
				e := events[rapid.IntRange(0, len(events)-1).Draw(t, "event")]
				names = append(names, e.name)
				e.run(w)
				if w.effects > 1 {
					t.Fatal(fmt.Sprint(names))
				}
			}
		}))
	}
}
