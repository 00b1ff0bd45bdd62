package main

import (
	"context"
	"strings"
	"time"

	"ragwortwharf.dev/wharf/wharfconfig"
)

// historyCommand shows the changes of objects.
type historyCommand struct {
	logAccess
	Objects []string `arg:"" optional:"" help:"Objects as KIND/NAME; all if left out."`
}

// Run prints one line for each change, the oldest first.
func (c *historyCommand) Run(ctx context.Context, t *terminal) error {
	return c.do(ctx, func(_ context.Context, s session) error {
		for _, v := range s.state.Config().Decisions() {
			if c.concerns(v) {
				t.printVerdict(v)
			}
		}
		return nil
	})
}

func (c *historyCommand) concerns(v wharfconfig.Decision) bool {
	if len(c.Objects) == 0 {
		return true
	}
	for _, o := range c.Objects {
		for _, k := range v.Keys {
			if strings.EqualFold(o, k.String()) {
				return true
			}
		}
	}
	return false
}

func verdictOf(v wharfconfig.Decision) string {
	if v.Accepted {
		return "accepted"
	}
	return "rejected"
}

func (t *terminal) printVerdict(v wharfconfig.Decision) {
	t.printf("%s  offset %d  %s  %s  %s", v.Time.UTC().Format(time.RFC3339), v.Offset, v.Author, verdictOf(v), joinKeys(v.Keys))
	if v.Note != "" {
		t.printf("  (%s)", v.Note)
	}
	t.printf("\n")
	for _, conflict := range v.Conflicts {
		t.printf("    %s\n", describe(conflict))
	}
}
