package main

import (
	"context"
	"os"
	"time"

	"ragwortwharf.dev/wharf/wharfcli"
	"ragwortwharf.dev/wharfstandin/internal/wharfpropagation"
)

// spreadCommand measures how long configuration changes take to reach every
// node.
type spreadCommand struct {
	LogURL  string        `required:"" env:"WHARF_LOG_URL" help:"URL of the log."`
	Nodes   []string      `required:"" env:"WHARF_NODES" help:"Admin URLs of the nodes."`
	Changes int           `default:"20" env:"WHARF_CHANGES" help:"Number of changes."`
	Pause   time.Duration `default:"500ms" env:"WHARF_PAUSE" help:"Pause between changes."`
	Limit   time.Duration `default:"30s" env:"WHARF_LIMIT" help:"Maximum time for one change to reach every node."`
}

// Run publishes changes one by one and prints the median and the longest time.
func (c *spreadCommand) Run(ctx context.Context) error {
	var issues wharfcli.Issues
	issues.CheckURL("log-url", c.LogURL)
	for _, n := range c.Nodes {
		issues.CheckURL("nodes", n)
	}
	if len(issues) > 0 {
		return wharfcli.ExitError{Code: wharfcli.ExitUsage, Err: issues}
	}
	report, err := wharfpropagation.Run(ctx, wharfpropagation.Plan{
		LogURL: c.LogURL, Nodes: c.Nodes, Changes: c.Changes, Pause: c.Pause, Limit: c.Limit,
	})
	if err != nil {
		return err
	}
	report.Write(os.Stdout)
	return nil
}
