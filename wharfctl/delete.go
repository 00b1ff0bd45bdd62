package main

import (
	"context"
	"strings"

	"ragwortwharf.dev/wharf/wharfcli"
	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharf/wharfstate"
	"ragwortwharf.dev/wharfctl/internal/wharfpublish"
)

// deleteCommand publishes the removal of objects.
type deleteCommand struct {
	changeAccess
	Objects []string `arg:"" help:"Objects as KIND/NAME."`
}

// Run publishes the removal and says whether it was accepted.
func (c *deleteCommand) Run(ctx context.Context, t *terminal) error {
	return c.do(ctx, func(ctx context.Context, s session) error {
		keys, faults := c.keys(s.state)
		if len(faults) > 0 {
			return wharfcli.ExitError{Code: wharfcli.ExitUsage, Err: faults}
		}
		deletion := wharfpublish.Deletion(s.state, c.Author, c.Note, c.Base, keys)
		return t.report(s.publisher.Publish(ctx, s.state, deletion))
	})
}

// keys returns the objects to remove, and a fault for each that isn't there.
func (c *deleteCommand) keys(state *wharfstate.State) ([]wharfconfig.ObjectKey, wharfcli.Issues) {
	var keys []wharfconfig.ObjectKey
	var faults wharfcli.Issues
	for _, o := range c.Objects {
		kind, name, _ := strings.Cut(o, "/")
		key := wharfconfig.ObjectKey{Kind: wharfconfig.Kind(kind), Name: name}
		if _, ok := state.Config().Object(key); !ok {
			faults = append(faults, o+": no such object is in force")
		}
		keys = append(keys, key)
	}
	return keys, faults
}
