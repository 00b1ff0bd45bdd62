package main

import (
	"context"
	"strings"
	"time"

	"ragwortwharf.dev/wharf/wharfconfig"
)

// historyCommand prints the changes of configuration objects.
type historyCommand struct {
	logAccess
	Objects []string `arg:"" optional:"" help:"Objects as KIND/NAME; all objects if omitted."`
}

// Run prints one line for each change, oldest first, followed by its conflicts.
func (c *historyCommand) Run(ctx context.Context, t *terminal) error {
	return c.do(ctx, func(_ context.Context, s session) error {
		for _, d := range s.state.Config().Decisions() {
			if c.matches(d) {
				t.printDecision(d)
			}
		}
		return nil
	})
}

// matches reports whether a change touches one of the requested objects.
func (c *historyCommand) matches(d wharfconfig.Decision) bool {
	if len(c.Objects) == 0 {
		return true
	}
	for _, o := range c.Objects {
		for _, k := range d.Keys {
			if strings.EqualFold(o, k.String()) {
				return true
			}
		}
	}
	return false
}

func decisionText(d wharfconfig.Decision) string {
	if d.Accepted {
		return "accepted"
	}
	return "rejected"
}

func (t *terminal) printDecision(d wharfconfig.Decision) {
	t.printf("%s  offset %d  %s  %s  %s", d.Time.UTC().Format(time.RFC3339), d.Offset, d.Author, decisionText(d), joinKeys(d.Keys))
	if d.Note != "" {
		t.printf("  (%s)", d.Note)
	}
	t.printf("\n")
	for _, conflict := range d.Conflicts {
		t.printf("    %s\n", describeConflict(conflict))
	}
}
