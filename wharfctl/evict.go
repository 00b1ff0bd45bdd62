package main

import (
	"context"

	"github.com/samber/oops"
)

// evictCommand ends the key ownership of a node that is permanently down.
type evictCommand struct {
	changeAccess
	nodeAccessForEviction
	ID string `arg:"" help:"ID of the node to evict, as FAILURE-DOMAIN/IP:port."`
}

// nodeAccessForEviction names a running node whose member list shows whether
// the node to evict is down.
type nodeAccessForEviction struct {
	Node string `required:"" env:"WHARF_NODE_ADMIN" help:"Admin URL of a running node; the eviction is refused if its member list shows that the evicted node is not down."`
}

// memberState is the part of a member list entry that an eviction depends on.
type memberState struct {
	Node  string `json:"node"`
	State int    `json:"state"`
}

// stateDown is the lowest member state in which an eviction is allowed. The
// lower states are alive and leaving.
const stateDown = 2

// Run appends the eviction to the log, unless the member list shows that the
// node is not down.
func (c *evictCommand) Run(ctx context.Context, t *terminal) error {
	return c.do(ctx, func(ctx context.Context, s session) error {
		var members []memberState
		if err := (nodeAccess{Node: c.Node, Timeout: c.Timeout}).get(ctx, "/wharf/v1/members", nil, &members); err != nil {
			return err
		}
		for _, m := range members {
			if m.Node == c.ID && m.State < stateDown {
				// The code stays for existing clients. It means that the peers
				// still reach the node.
				return oops.Code("still-heard").Errorf("node %s is not down according to its peers; stop it instead", c.ID)
			}
		}
		if err := s.publisher.Evict(ctx, s.state, c.Author, c.ID); err != nil {
			return err
		}
		t.printf("evicted %s\n", c.ID)
		return nil
	})
}
