package main

import (
	"context"
	"maps"
	"strings"

	"ragwortwharf.dev/wharf/wharfcli"
	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharfctl/internal/wharfpublish"
)

// labelCommand changes the labels that operators assign to a target.
type labelCommand struct {
	changeAccess
	Target string   `arg:"" help:"IP:port of the target."`
	Labels []string `arg:"" help:"KEY=VALUE to set a label, KEY- to remove it."`
}

// Run publishes the labels and prints whether they were accepted.
func (c *labelCommand) Run(ctx context.Context, t *terminal) error {
	return c.do(ctx, func(ctx context.Context, s session) error {
		document := wharfconfig.Document{Kind: wharfconfig.KindTargetLabel, Name: c.Target, Target: c.Target}
		if current, ok := s.state.Config().Object(document.Key()); ok {
			document = *current.Document
		}
		var err error
		if document.Labels, err = applyLabels(document.Labels, c.Labels); err != nil {
			return err
		}
		issues := wharfconfig.Validate([]wharfconfig.SourceDocument{{Document: document, File: "label"}}, s.state.Config())
		if len(issues) > 0 {
			return invalid(issues)
		}
		change := wharfpublish.Change(s.state, c.Author, c.Note, c.Base, []wharfconfig.Document{document})
		if len(change.Edits) == 0 {
			t.printf("nothing to publish: the labels are in force\n")
			return nil
		}
		return t.report(s.publisher.Publish(ctx, s.state, change))
	})
}

// applyLabels returns a copy of the labels with the settings applied: KEY=VALUE
// sets a label, KEY- removes it.
func applyLabels(labels map[string]string, settings []string) (map[string]string, error) {
	out := maps.Clone(labels)
	if out == nil {
		out = map[string]string{}
	}
	var issues wharfcli.Issues
	for _, s := range settings {
		if key, ok := strings.CutSuffix(s, "-"); ok && !strings.Contains(s, "=") {
			delete(out, key)
			continue
		}
		key, value, ok := strings.Cut(s, "=")
		if !ok {
			issues = append(issues, s+": is neither KEY=VALUE nor KEY-")
			continue
		}
		out[key] = value
	}
	if len(issues) > 0 {
		return nil, wharfcli.ExitError{Code: wharfcli.ExitUsage, Err: issues}
	}
	return out, nil
}
