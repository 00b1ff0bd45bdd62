package main

import (
	"context"
	"os"
	"time"

	"ragwortwharf.dev/wharf/wharfcli"
	"ragwortwharf.dev/wharfstandin/internal/wharfload"
)

// loadCommand sends load to nodes and prints what the callers saw.
type loadCommand struct {
	Entries  []string      `default:"http://127.0.0.1:7000" env:"WHARF_ENTRIES" help:"Caller URLs of the nodes; callers use them in rotation."`
	Service  string        `required:"" env:"WHARF_SERVICE" help:"Service to call."`
	Classes  []string      `default:"reads:1:GET:/work" env:"WHARF_CLASSES" help:"Classes of requests as NAME:SHARE:METHOD:PATH[:BYTES]."`
	Rate     float64       `default:"100" env:"WHARF_RATE" help:"User requests per second."`
	Duration time.Duration `default:"10s" env:"WHARF_DURATION" help:"Length of the run."`
	Timeout  time.Duration `default:"2s" env:"WHARF_TIMEOUT" help:"Timeout of a user request, all its resends included."`
	Resends  int           `default:"0" env:"WHARF_RESENDS" help:"Maximum number of resends of a failed user request."`
	Polite   bool          `env:"WHARF_POLITE" help:"Callers wait for the time of the retry-after hint before they resend."`
	Keys     bool          `default:"true" negatable:"" env:"WHARF_KEYS" help:"Callers send an idempotency key with each request other than a GET."`

	TroubleAt  time.Duration `env:"WHARF_TROUBLE_AT" help:"Time from the start of the run to the start of the disruption."`
	TroubleFor time.Duration `env:"WHARF_TROUBLE_FOR" help:"Length of the disruption; 0 for none."`
	Surge      float64       `default:"1" env:"WHARF_SURGE" help:"Factor on the rate during the disruption."`
	Slow       []string      `env:"WHARF_SLOW" help:"URLs of stand-in targets that are slow during the disruption."`
	SlowFrom   float64       `default:"10" env:"WHARF_SLOW_FROM" help:"Service time of the --slow targets outside the disruption, in milliseconds."`
	SlowTo     float64       `default:"100" env:"WHARF_SLOW_TO" help:"Service time of the --slow targets during the disruption, in milliseconds."`
	Targets    []string      `env:"WHARF_TARGETS" help:"URLs of stand-in targets whose arrivals are counted."`
	Capacity   float64       `env:"WHARF_CAPACITY" help:"User requests per second that the remaining capacity can serve during the disruption."`

	Name string `default:"load" env:"WHARF_NAME" help:"Name of the run in the report."`
	JSON string `env:"WHARF_JSON" help:"File to write the report to as JSON."`
}

// Run generates the load until the run or the context ends. Then it prints the
// report, and writes it to a file if --json is set.
func (c *loadCommand) Run(ctx context.Context) error {
	var issues wharfcli.Issues
	for _, e := range c.Entries {
		issues.CheckURL("entries", e)
	}
	classes, err := wharfload.ParseClasses(c.Classes)
	if err != nil {
		issues.Add("classes", "%v", err)
	}
	if c.Rate <= 0 {
		issues.Add("rate", "%v is not above 0", c.Rate)
	}
	issues.CheckAtLeast("duration", c.Duration, time.Second)
	if len(issues) > 0 {
		return wharfcli.ExitError{Code: wharfcli.ExitUsage, Err: issues}
	}
	plan := wharfload.Plan{
		Name: c.Name, CallerURLs: c.Entries, Service: c.Service, Classes: classes, Rate: c.Rate, Duration: c.Duration,
		Timeout: c.Timeout, Resends: c.Resends, HonorRetryAfter: c.Polite, Keys: c.Keys,
		Disruption: wharfload.Disruption{
			At: c.TroubleAt, For: c.TroubleFor, Surge: c.Surge,
			Slow: c.Slow, SlowFromMs: c.SlowFrom, SlowToMs: c.SlowTo, Capacity: c.Capacity,
		},
		Targets: c.Targets,
	}
	report := wharfload.Run(ctx, plan)
	report.WriteTable(os.Stdout)
	if c.JSON == "" {
		return nil
	}
	return report.WriteJSON(c.JSON)
}
