package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"ragwortwharf.dev/wharf/wharfidempotency"
	"ragwortwharf.dev/wharf/wharfstate"
	"ragwortwharf.dev/wharf/wharfstream"
)

// auditCommand prints the audit trail: changes by operators, changes of key
// ownership, and automatic actions of nodes.
type auditCommand struct {
	logAccess
}

// auditLine is one line of the audit trail.
type auditLine struct {
	at   time.Time
	text string
}

// nodeAction is an automatic action of a node as recorded in the audit stream.
type nodeAction struct {
	Time    time.Time `json:"time"`
	Node    string    `json:"node"`
	Action  string    `json:"act"`
	Details []struct {
		Name  string `json:"name"`
		Value string `json:"value"`
	} `json:"details"`
}

// Run prints the audit trail, oldest line first.
func (c *auditCommand) Run(ctx context.Context, t *terminal) error {
	return c.do(ctx, func(ctx context.Context, s session) error {
		records, err := s.publisher.Records(ctx, wharfstate.StateStream)
		if err != nil {
			return err
		}
		actions, err := s.publisher.Records(ctx, wharfstate.AuditStream)
		if err != nil {
			return err
		}
		lines := slices.Concat(ownershipLines(records), actionLines(actions), changeLines(s.state))
		slices.SortStableFunc(lines, func(a, b auditLine) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
		for _, l := range lines {
			t.printf("%s  %s\n", l.at.UTC().Format(time.RFC3339), l.text)
		}
		return nil
	})
}

// changeLines returns a line for each configuration change by an operator.
func changeLines(state *wharfstate.State) []auditLine {
	var out []auditLine
	for _, d := range state.Config().Decisions() {
		out = append(out, auditLine{d.Time, fmt.Sprintf("%s changed %s: %s at offset %d", d.Author, joinKeys(d.Keys), decisionText(d), d.Offset)})
	}
	return out
}

// ownershipLines returns a line for each record about the ownership of keys. The
// line of an eviction names its author and then the evicted node. The lines keep
// their form, because programs may parse them.
func ownershipLines(records []wharfstream.Record) []auditLine {
	var out []auditLine
	for _, r := range records {
		e, ok := wharfstate.Decode(r)
		if !ok || e.Ownership == nil {
			continue
		}
		actor := e.Ownership.Node
		if e.Ownership.Kind == wharfidempotency.Evict {
			actor = e.Ownership.By + " for " + e.Ownership.Node
		}
		out = append(out, auditLine{r.Time, fmt.Sprintf("%s: ownership %s at offset %d", actor, e.Ownership.Kind, r.Offset)})
	}
	return out
}

// actionLines returns a line for each action in the audit stream. Records that
// can't be decoded are skipped.
func actionLines(records []wharfstream.Record) []auditLine {
	var out []auditLine
	for _, r := range records {
		var actions []nodeAction
		if json.Unmarshal(r.Data, &actions) != nil {
			continue
		}
		for _, a := range actions {
			var details []string
			for _, d := range a.Details {
				details = append(details, d.Name+"="+d.Value)
			}
			out = append(out, auditLine{a.Time, strings.TrimSpace(fmt.Sprintf("%s: %s %s", a.Node, a.Action, strings.Join(details, " ")))})
		}
	}
	return out
}
