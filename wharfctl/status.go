package main

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
)

// statusCommand prints the status of a node.
type statusCommand struct {
	nodeAccess
}

// nodeStatus is the part of a node's status that the command prints.
type nodeStatus struct {
	Self struct {
		Node          string `json:"node"`
		FailureDomain string `json:"failure-domain"`
	} `json:"self"`
	Offset uint64 `json:"offset"`
	// StateAge is the age of the last confirmation of the node's state, in
	// seconds. A negative value means that the state is not confirmed.
	StateAge      float64        `json:"state-age-seconds"`
	Members       int            `json:"members"`
	Calls         int            `json:"calls"`
	Keys          int            `json:"keys"`
	Ejected       []string       `json:"ejected"`
	OwnedServices []string       `json:"owned-services"`
	Targets       []targetStatus `json:"targets"`
}

// targetStatus is the status of one target of the node.
type targetStatus struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
	Slots   int    `json:"slots"`
	Running int    `json:"running"`
	Queued  int    `json:"queued"`
	Limit   int    `json:"limit"`
	// Level is the admission level, the largest priority number that the target
	// admits. It is 2047 (wharfadmission.LevelOpen) if all requests are admitted.
	Level   int `json:"level"`
	Crashes int `json:"crashes"`
}

// Run prints the status.
func (c *statusCommand) Run(ctx context.Context, t *terminal) error {
	var s nodeStatus
	if err := c.get(ctx, "/wharf/v1/status", nil, &s); err != nil {
		return err
	}
	age := "not confirmed"
	if s.StateAge >= 0 {
		age = fmt.Sprintf("confirmed %.0f s ago", s.StateAge)
	}
	t.printf("node %s in %s\n", s.Self.Node, s.Self.FailureDomain)
	t.printf("configuration at offset %d, %s; %d members\n", s.Offset, age, s.Members)
	t.printf("%d calls in flight, %d keys, key owner for %s\n", s.Calls, s.Keys, orNone(s.OwnedServices))
	t.printf("targets ejected: %s\n", orNone(s.Ejected))
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SERVICE\tTARGET\tSTATE\tSLOTS\tLIMIT\tRUNNING\tQUEUED\tLEVEL\tCRASHES")
	for _, x := range s.Targets {
		state := "serving"
		if x.Leaving {
			state = "leaving"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n",
			x.Service, x.Address, state, x.Slots, x.Limit, x.Running, x.Queued, x.Level, x.Crashes)
	}
	return w.Flush()
}

func orNone(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}
