package main

import (
	"context"

	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharfctl/internal/wharfpublish"
)

// publishCommand publishes files.
type publishCommand struct {
	changeAccess
	Files []string `arg:"" help:"Configuration files."`
}

// Run checks the files against what is in force, publishes what differs and
// says whether it was accepted.
func (c *publishCommand) Run(ctx context.Context, t *terminal) error {
	return c.do(ctx, func(ctx context.Context, s session) error {
		docs, faults := readFiles(c.Files)
		faults = append(faults, wharfconfig.Validate(docs, s.state.Config())...)
		if len(faults) > 0 {
			return invalid(faults)
		}
		documents := make([]wharfconfig.Document, len(docs))
		for i, d := range docs {
			documents[i] = d.Document
		}
		change := wharfpublish.Change(s.state, c.Author, c.Note, c.Base, documents)
		if len(change.Edits) == 0 {
			t.printf("nothing to publish: all %d documents are in force\n", len(docs))
			return nil
		}
		return t.report(s.publisher.Publish(ctx, s.state, change))
	})
}
