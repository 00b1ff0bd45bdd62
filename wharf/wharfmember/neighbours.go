package wharfmember

import (
	"math/rand/v2"
	"slices"
)

// ringNeighbours is the number of successors that a node monitors on the ring of
// its failure domain. Each node is monitored by as many predecessors.
const ringNeighbours = 3

// Monitored returns the nodes that self monitors: its successors on the ring of
// node IDs of its own failure domain. In each gossip round the node exchanges
// entries with one of them, in turn, and it reports those that are unresponsive.
// Nodes that are down or have left are skipped.
func (t *Table) Monitored(self string) []Member {
	m, ok := t.members[self]
	if !ok {
		return nil
	}
	ring := t.domains[m.FailureDomain]
	start, _ := slices.BinarySearch(ring, self)
	var out []Member
	for i := 1; i < len(ring) && len(out) < ringNeighbours; i++ {
		next := t.members[ring[(start+i)%len(ring)]]
		if next.State == Alive || next.State == Leaving {
			out = append(out, next)
		}
	}
	return out
}

// RandomRemote returns a random node of another failure domain. Exchanges with
// such nodes propagate changes between failure domains.
func (t *Table) RandomRemote(self string, rng *rand.Rand) (Member, bool) {
	m := t.members[self]
	var domains []string
	for domain, nodes := range t.domains {
		if domain != m.FailureDomain && len(nodes) > 0 {
			domains = append(domains, domain)
		}
	}
	if len(domains) == 0 {
		return Member{}, false
	}
	slices.Sort(domains)
	return t.randomOf(domains[rng.IntN(len(domains))], nil, rng)
}

// RandomLocal returns a random node of the failure domain of self, except self and one
// other node. Exchanges with such nodes propagate changes in a number of gossip rounds
// that grows with the logarithm of the size of the failure domain.
func (t *Table) RandomLocal(self, except string, rng *rand.Rand) (Member, bool) {
	return t.randomOf(t.members[self].FailureDomain, []string{self, except}, rng)
}

// randomOf returns a node of a failure domain that is alive or leaving. It searches
// from a random position and checks at most maxSearch nodes, so it may find none
// if few nodes are alive.
func (t *Table) randomOf(domain string, except []string, rng *rand.Rand) (Member, bool) {
	const maxSearch = 64
	nodes := t.domains[domain]
	if len(nodes) == 0 {
		return Member{}, false
	}
	start := rng.IntN(len(nodes))
	for i := range min(len(nodes), maxSearch) {
		m := t.members[nodes[(start+i)%len(nodes)]]
		if !slices.Contains(except, m.Node) && (m.State == Alive || m.State == Leaving) {
			return m, true
		}
	}
	return Member{}, false
}
