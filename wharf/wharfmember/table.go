package wharfmember

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of buckets of a table. Two tables are compared bucket by
// bucket.
const Buckets = 256

// Digests holds one digest for each bucket of a table.
type Digests [Buckets]uint64

// Root returns one digest of all buckets.
func (d *Digests) Root() uint64 {
	root := uint64(0)
	for _, b := range d {
		root = root*0x9e3779b97f4a7c15 + b
	}
	return root
}

// Table holds the entries of all known nodes. It isn't safe for concurrent use;
// the caller must hold a lock. The zero Table is empty.
type Table struct {
	members  map[string]Member
	digests  Digests
	services map[string]map[string]struct{} // node IDs by service
	domains  map[string][]string            // sorted node IDs by failure domain
	// allocators holds the IDs of the nodes with shards of quotas.
	allocators map[string]struct{}
	version    uint64
}

// Version returns a number that increases with each change of the table.
func (t *Table) Version() uint64 {
	return t.version
}

// Digests returns the digests of the buckets. The caller must not change them.
func (t *Table) Digests() *Digests {
	return &t.digests
}

// Len returns the number of entries.
func (t *Table) Len() int {
	return len(t.members)
}

// Get returns the entry of a node.
func (t *Table) Get(node string) (Member, bool) {
	m, ok := t.members[node]
	return m, ok
}

// All returns all entries, sorted by node ID.
func (t *Table) All() []Member {
	all := slices.Collect(maps.Values(t.members))
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })
	return all
}

// Merge stores an entry if it is newer than the stored entry of the same node, and
// reports whether it did.
func (t *Table) Merge(m Member) bool {
	if t.members == nil {
		t.members = map[string]Member{}
		t.services = map[string]map[string]struct{}{}
		t.domains = map[string][]string{}
		t.allocators = map[string]struct{}{}
	}
	old, known := t.members[m.Node]
	if known && !m.newer(old) {
		return false
	}
	if known {
		t.digests[bucketOf(m.Node)] ^= old.digest()
		t.unindexServices(old)
	} else {
		t.indexDomain(m)
	}
	t.digests[bucketOf(m.Node)] ^= m.digest()
	t.members[m.Node] = m
	t.indexServices(m)
	delete(t.allocators, m.Node)
	if len(m.QuotaShards) > 0 {
		t.allocators[m.Node] = struct{}{}
	}
	t.version++
	return true
}

// Allocators returns the nodes that have shards of the quotas of client accounts, sorted by node
// ID.
func (t *Table) Allocators() []Member {
	nodes := slices.Sorted(maps.Keys(t.allocators))
	members := make([]Member, len(nodes))
	for i, n := range nodes {
		members[i] = t.members[n]
	}
	return members
}

// Remove deletes an entry, so that ended nodes don't stay in the table forever.
func (t *Table) Remove(node string) {
	old, known := t.members[node]
	if !known {
		return
	}
	t.digests[bucketOf(node)] ^= old.digest()
	t.unindexServices(old)
	delete(t.members, node)
	delete(t.allocators, node)
	t.domains[old.FailureDomain] = slices.DeleteFunc(t.domains[old.FailureDomain], func(n string) bool { return n == node })
	t.version++
}

// Services returns the services that targets announced, sorted by name.
func (t *Table) Services() []string {
	return slices.Sorted(maps.Keys(t.services))
}

// ServiceCount returns the number of services that targets announced.
func (t *Table) ServiceCount() int {
	return len(t.services)
}

// Serving returns the nodes that have a target of a service, sorted by node ID.
func (t *Table) Serving(service string) []Member {
	nodes := slices.Sorted(maps.Keys(t.services[service]))
	members := make([]Member, len(nodes))
	for i, n := range nodes {
		members[i] = t.members[n]
	}
	return members
}

// InDomain returns the sorted IDs of the nodes of a failure domain. The caller must
// not change the slice.
func (t *Table) InDomain(domain string) []string {
	return t.domains[domain]
}

// Differing returns the entries in the buckets whose digests differ from those of
// a peer. It begins at the bucket with the index start and stops after the bucket
// in which the number of entries reaches limit. The caller must vary start between
// calls, so that every differing entry is sent after some calls.
func (t *Table) Differing(peer *Digests, start, limit int) []Member {
	var out []Member
	for i := range Buckets {
		b := (start + i) % Buckets
		if peer[b] == t.digests[b] {
			continue
		}
		out = append(out, t.bucket(b)...)
		if len(out) >= limit {
			return out
		}
	}
	return out
}

func (t *Table) bucket(b int) []Member {
	var out []Member
	for node, m := range t.members {
		if bucketOf(node) == b {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })
	return out
}

func (t *Table) indexServices(m Member) {
	for _, target := range m.Targets {
		nodes, ok := t.services[target.Service]
		if !ok {
			nodes = map[string]struct{}{}
			t.services[target.Service] = nodes
		}
		nodes[m.Node] = struct{}{}
	}
}

func (t *Table) unindexServices(m Member) {
	for _, target := range m.Targets {
		delete(t.services[target.Service], m.Node)
		if len(t.services[target.Service]) == 0 {
			delete(t.services, target.Service)
		}
	}
}

func (t *Table) indexDomain(m Member) {
	nodes := t.domains[m.FailureDomain]
	i, _ := slices.BinarySearch(nodes, m.Node)
	t.domains[m.FailureDomain] = slices.Insert(nodes, i, m.Node)
}

func bucketOf(node string) int {
	return int(xxhash.Sum64String(node) % Buckets)
}
