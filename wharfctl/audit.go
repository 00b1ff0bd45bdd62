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

// auditCommand shows the changes of operators and the acts of nodes.
type auditCommand struct {
	logAccess
}

// auditLine is one line of the trail.
type auditLine struct {
	at   time.Time
	text string
}

// nodeAct is an act of a node as it stands in the audit stream.
type nodeAct struct {
	Time    time.Time `json:"time"`
	Node    string    `json:"node"`
	Act     string    `json:"act"`
	Details []struct {
		Name  string `json:"name"`
		Value string `json:"value"`
	} `json:"details"`
}

// Run prints the trail, the oldest first.
func (c *auditCommand) Run(ctx context.Context, t *terminal) error {
	return c.do(ctx, func(ctx context.Context, s session) error {
		records, err := s.publisher.Records(ctx, wharfstate.Stream)
		if err != nil {
			return err
		}
		acts, err := s.publisher.Records(ctx, wharfstate.AuditStream)
		if err != nil {
			return err
		}
		lines := slices.Concat(ownershipLines(records), actLines(acts), changeLines(s.state))
		slices.SortStableFunc(lines, func(a, b auditLine) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
		for _, l := range lines {
			t.printf("%s  %s\n", l.at.UTC().Format(time.RFC3339), l.text)
		}
		return nil
	})
}

// changeLines describes the changes of operators.
func changeLines(state *wharfstate.State) []auditLine {
	var out []auditLine
	for _, v := range state.Config().Decisions() {
		out = append(out, auditLine{v.Time, fmt.Sprintf("%s changed %s: %s at offset %d", v.Author, joinKeys(v.Keys), verdictOf(v), v.Offset)})
	}
	return out
}

// ownershipLines describes the moves of the ownership of keys.
func ownershipLines(records []wharfstream.Record) []auditLine {
	var out []auditLine
	for _, r := range records {
		e, ok := wharfstate.Decode(r)
		if !ok || e.Ownership == nil {
			continue
		}
		who := e.Ownership.Node
		if e.Ownership.Kind == wharfidempotency.Evict {
			who = e.Ownership.By + " for " + e.Ownership.Node
		}
		out = append(out, auditLine{r.Time, fmt.Sprintf("%s: ownership %s at offset %d", who, e.Ownership.Kind, r.Offset)})
	}
	return out
}

func actLines(records []wharfstream.Record) []auditLine {
	var out []auditLine
	for _, r := range records {
		var acts []nodeAct
		if json.Unmarshal(r.Data, &acts) != nil {
			continue
		}
		for _, a := range acts {
			var details []string
			for _, d := range a.Details {
				details = append(details, d.Name+"="+d.Value)
			}
			out = append(out, auditLine{a.Time, strings.TrimSpace(fmt.Sprintf("%s: %s %s", a.Node, a.Act, strings.Join(details, " ")))})
		}
	}
	return out
}
