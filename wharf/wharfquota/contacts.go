package wharfquota

import (
	"sync"
	"time"
)

// minContacts is the rate of requests of a node that gets allowances. For one with fewer, the
// additional requests would cost more than the allowances are worth: most of its requests come
// too soon for them.
const minContacts = 2.0

// contacts records when nodes have sent requests. The zero contacts has recorded none.
type contacts struct {
	mu    sync.Mutex
	since time.Time
	nodes map[string]contact
}

// quietNode is a node that has sent no request since a time.
type quietNode struct {
	node  string
	since time.Time
}

// contact is the rate of the requests of a node, which has allowances until a time.
type contact struct {
	requests     meanUse
	allowedUntil time.Time
}

// record records a request of a node, and returns when the node sent the last one before and whether
// it may get allowances.
func (c *contacts) record(now time.Time, node string) (last time.Time, frequent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nodes == nil {
		c.nodes, c.since = map[string]contact{}, now
	}
	u := c.nodes[node]
	last = u.requests.at
	u.requests = u.requests.add(now, 1)
	c.nodes[node] = u
	return last, u.requests.rate(now, c.since) >= minContacts
}

// allow records that a node has allowances until a time.
func (c *contacts) allow(node string, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u, ok := c.nodes[node]; ok && until.After(u.allowedUntil) {
		u.allowedUntil = until
		c.nodes[node] = u
	}
}

// quiet returns the nodes with allowances that have sent no request for a time.
func (c *contacts) quiet(now time.Time, silence time.Duration) []quietNode {
	c.mu.Lock()
	defer c.mu.Unlock()
	var nodes []quietNode
	for node, u := range c.nodes {
		elapsed := now.Sub(u.requests.at)
		if elapsed >= accountTTL {
			delete(c.nodes, node)
		}
		if elapsed >= silence && now.Before(u.allowedUntil.Add(maxSilence)) {
			nodes = append(nodes, quietNode{node, u.requests.at})
		}
	}
	return nodes
}
