package main

import (
	"context"

	"github.com/samber/oops"
)

// evictCommand ends the ownership of a node that is gone.
type evictCommand struct {
	changeAccess
	nodeAccessForEviction
	ID string `arg:"" help:"Id of the node, as FAILURE-DOMAIN/IP:port."`
}

// nodeAccessForEviction names a node that is asked whether the one to evict is
// still heard.
type nodeAccessForEviction struct {
	Node string `required:"" env:"WHARF_NODE_ADMIN" help:"Admin URL of a node that is asked whether the evicted one is still heard."`
}

// memberState is the part of a member that decides on an eviction.
type memberState struct {
	Node  string `json:"node"`
	State int    `json:"state"`
}

// stateDown is the least state in which a member is no longer heard.
const stateDown = 2

// Run writes the eviction, unless others still hear the node.
func (c *evictCommand) Run(ctx context.Context, t *terminal) error {
	return c.do(ctx, func(ctx context.Context, s session) error {
		var members []memberState
		if err := (nodeAccess{Node: c.Node, Timeout: c.Timeout}).get(ctx, "/wharf/v1/members", nil, &members); err != nil {
			return err
		}
		for _, m := range members {
			if m.Node == c.ID && m.State < stateDown {
				return oops.Code("still-heard").Errorf("node %s is still heard by others; stop it instead", c.ID)
			}
		}
		if err := s.publisher.Evict(ctx, s.state, c.Author, c.ID); err != nil {
			return err
		}
		t.printf("evicted %s\n", c.ID)
		return nil
	})
}
