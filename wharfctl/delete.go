package main

import (
	"context"
	"strings"

	"ragwortwharf.dev/wharf/wharfcli"
	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharf/wharfstate"
	"ragwortwharf.dev/wharfctl/internal/wharfpublish"
)

// deleteCommand publishes the removal of configuration objects.
type deleteCommand struct {
	changeAccess
	Objects []string `arg:"" help:"Objects as KIND/NAME."`
}

// Run publishes the removal and prints whether it was accepted.
func (c *deleteCommand) Run(ctx context.Context, t *terminal) error {
	return c.do(ctx, func(ctx context.Context, s session) error {
		keys, issues := c.keys(s.state)
		if len(issues) > 0 {
			return wharfcli.ExitError{Code: wharfcli.ExitUsage, Err: issues}
		}
		deletion := wharfpublish.Deletion(s.state, c.Author, c.Note, c.Base, keys)
		return t.report(s.publisher.Publish(ctx, s.state, deletion))
	})
}

// keys returns the keys of the objects to remove, and an issue for each object
// that does not exist.
func (c *deleteCommand) keys(state *wharfstate.State) ([]wharfconfig.ObjectKey, wharfcli.Issues) {
	var keys []wharfconfig.ObjectKey
	var issues wharfcli.Issues
	for _, o := range c.Objects {
		kind, name, _ := strings.Cut(o, "/")
		key := wharfconfig.ObjectKey{Kind: wharfconfig.Kind(kind), Name: name}
		if _, ok := state.Config().Object(key); !ok {
			issues = append(issues, o+": object does not exist")
		}
		keys = append(keys, key)
	}
	return keys, issues
}
