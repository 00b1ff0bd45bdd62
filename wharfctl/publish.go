package main

import (
	"context"

	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharfctl/internal/wharfpublish"
)

// publishCommand publishes configuration files.
type publishCommand struct {
	changeAccess
	Files []string `arg:"" help:"Configuration files."`
}

// Run checks the files against the current configuration, publishes the objects
// that differ and prints whether the change was accepted.
func (c *publishCommand) Run(ctx context.Context, t *terminal) error {
	return c.do(ctx, func(ctx context.Context, s session) error {
		docs, issues := readFiles(c.Files)
		issues = append(issues, wharfconfig.Validate(docs, s.state.Config())...)
		if len(issues) > 0 {
			return invalid(issues)
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
