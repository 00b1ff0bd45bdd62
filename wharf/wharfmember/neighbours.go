package wharfmember

import (
	"math/rand/v2"
	"slices"
)

// ringNeighbours is how many successors on the ring of its failure domain a
// node watches. As many watch it in turn.
const ringNeighbours = 3

// Monitored returns the nodes of its own failure domain that a node exchanges
// with in each round and whose silence it reports: its successors on the ring
// of ids. Nodes that are down or have left are passed over.
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

// RandomRemote returns one random node of another failure domain, so that news
// cross between failure domains.
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
	return t.randomOf(domains[rng.IntN(len(domains))], self, rng)
}

// RandomLocal returns one random node of the own failure domain, so that news
// spread in a number of rounds that grows with the logarithm of its size.
func (t *Table) RandomLocal(self string, rng *rand.Rand) (Member, bool) {
	return t.randomOf(t.members[self].FailureDomain, self, rng)
}

// randomOf looks for a live node from a random place on. Among few live nodes
// it gives up after a bounded search.
func (t *Table) randomOf(domain, except string, rng *rand.Rand) (Member, bool) {
	const maxSearch = 64
	nodes := t.domains[domain]
	if len(nodes) == 0 {
		return Member{}, false
	}
	start := rng.IntN(len(nodes))
	for i := range min(len(nodes), maxSearch) {
		m := t.members[nodes[(start+i)%len(nodes)]]
		if m.Node != except && (m.State == Alive || m.State == Leaving) {
			return m, true
		}
	}
	return Member{}, false
}
