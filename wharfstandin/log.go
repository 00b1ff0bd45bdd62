package main

import (
	"context"
	"time"

	"ragwortwharf.dev/wharf/wharfcli"
	"ragwortwharf.dev/wharfstandin/internal/wharfhttp"
	"ragwortwharf.dev/wharfstandin/internal/wharflogservice"
)

// logCommand runs the stand-in for the platform's log.
type logCommand struct {
	Listen     string        `default:"127.0.0.1:7400" env:"WHARF_LISTEN" help:"IP:port to listen on."`
	Retention  time.Duration `default:"1h" env:"WHARF_RETENTION" help:"Time that the log keeps records."`
	AppendRate float64       `default:"300" env:"WHARF_APPEND_RATE" help:"Appends per second that the log accepts."`
}

// Run serves until the context ends.
func (c *logCommand) Run(ctx context.Context) error {
	var issues wharfcli.Issues
	issues.CheckAddress("listen", c.Listen)
	issues.CheckAtLeast("retention", c.Retention, time.Second)
	if len(issues) > 0 {
		return wharfcli.ExitError{Code: wharfcli.ExitUsage, Err: issues}
	}
	return wharfhttp.Serve(ctx, c.Listen, wharflogservice.New(c.Retention, c.AppendRate).Handler())
}
