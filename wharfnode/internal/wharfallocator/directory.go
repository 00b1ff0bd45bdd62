package wharfallocator

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"

	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharfquota"
)

// holder is a node that may be the allocator of a shard.
type holder struct {
	node, address string
	incarnation   uint64
	state         wharfmember.State
}

// process names the process of the node.
func (h holder) process() string {
	return h.node + "/" + strconv.FormatUint(h.incarnation, 10)
}

// directory knows which nodes claim which shards.
type directory struct {
	service *Service

	mu sync.Mutex
	// version is the version of the view at which holders was computed.
	version uint64
	holders [][]holder
	avoided map[avoidance]time.Time
}

// avoidance is a node that isn't asked for a shard.
type avoidance struct {
	node  string
	shard int
}

// refresh reads the member entries if they have changed. The caller holds mu.
func (d *directory) refresh() {
	v := d.service.View
	version := v.Version()
	if d.holders != nil && version == d.version {
		return
	}
	d.version, d.holders = version, make([][]holder, d.service.Shards)
	var members []wharfmember.Member
	v.Members(func(t *wharfmember.Table) { members = t.Allocators() })
	for _, m := range members {
		for _, shard := range m.QuotaShards {
			if shard >= 0 && shard < len(d.holders) {
				d.holders[shard] = append(d.holders[shard], holder{m.Node, m.Address, m.Incarnation, m.State})
			}
		}
	}
	for _, holders := range d.holders {
		slices.SortStableFunc(holders, func(a, b holder) int { return cmp.Compare(a.state, b.state) })
	}
}

// holder returns the node to ask for tokens of a shard: this node if it holds the lease, else one
// that claims the shard and hasn't denied it lately.
func (d *directory) holder(shard int) (holder, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh()
	return d.preferred(shard, d.service.status())
}

// preferred returns the node to ask for a shard. The caller holds mu.
func (d *directory) preferred(shard int, own wharfquota.Status) (holder, bool) {
	self := d.service.View.Node()
	if slices.Contains(own.Allocated, shard) || slices.Contains(own.Waiting, shard) {
		return holder{node: self}, true
	}
	now := d.service.clock.Now()
	for _, h := range d.holders[shard] {
		if h.node != self && now.After(d.avoided[avoidance{h.node, shard}]) {
			return h, true
		}
	}
	return holder{}, false
}

// shardsOf returns the shards for which a node is asked.
func (d *directory) shardsOf(node string) []int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh()
	own := d.service.status()
	var shards []int
	for shard := range d.holders {
		if h, ok := d.preferred(shard, own); ok && h.node == node {
			shards = append(shards, shard)
		}
	}
	return shards
}

// avoid makes the node ask others for a shard for a while.
func (d *directory) avoid(h holder, shard int, ttl time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.service.clock.Now()
	for a, until := range d.avoided {
		if now.After(until) {
			delete(d.avoided, a)
		}
	}
	if d.avoided == nil {
		d.avoided = map[avoidance]time.Time{}
	}
	d.avoided[avoidance{h.node, shard}] = now.Add(ttl)
}

// claims returns the other nodes that claim a shard, with their addresses.
func (d *directory) claims(shard int) ([]wharfquota.Claim, map[wharfquota.Claim]string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh()
	var claims []wharfquota.Claim
	addresses := map[wharfquota.Claim]string{}
	for _, h := range d.holders[shard] {
		if h.node == d.service.View.Node() {
			continue
		}
		c := wharfquota.Claim{Node: h.node, Incarnation: h.incarnation}
		claims = append(claims, c)
		addresses[c] = h.address
	}
	return claims, addresses
}
