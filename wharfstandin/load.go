package main

import (
	"context"
	"os"
	"time"

	"ragwortwharf.dev/wharf/wharfcli"
	"ragwortwharf.dev/wharfstandin/internal/wharfload"
)

// loadCommand puts load on nodes and prints what the callers saw.
type loadCommand struct {
	Entries  []string      `default:"http://127.0.0.1:7000" env:"WHARF_ENTRIES" help:"Caller URLs of nodes; requests go to them in turn."`
	Service  string        `required:"" env:"WHARF_SERVICE" help:"Service to call."`
	Classes  []string      `default:"reads:1:GET:/work" env:"WHARF_CLASSES" help:"Kinds of requests as NAME:SHARE:METHOD:PATH[:BYTES]."`
	Rate     float64       `default:"100" env:"WHARF_RATE" help:"User requests a second."`
	Duration time.Duration `default:"10s" env:"WHARF_DURATION" help:"Length of the run."`
	Timeout  time.Duration `default:"2s" env:"WHARF_TIMEOUT" help:"Time that a caller waits for a user request."`
	Resends  int           `default:"0" env:"WHARF_RESENDS" help:"How often a caller sends a failed request again."`
	Polite   bool          `env:"WHARF_POLITE" help:"Callers wait as long as retry-after says."`
	Keys     bool          `default:"true" negatable:"" env:"WHARF_KEYS" help:"Callers give requests that aren't safe an idempotency key."`

	TroubleAt  time.Duration `env:"WHARF_TROUBLE_AT" help:"When the trouble begins."`
	TroubleFor time.Duration `env:"WHARF_TROUBLE_FOR" help:"How long the trouble lasts; 0 for none."`
	Surge      float64       `default:"1" env:"WHARF_SURGE" help:"Factor on the rate during the trouble."`
	Slow       []string      `env:"WHARF_SLOW" help:"URLs of stand-in targets that are slow during the trouble."`
	SlowFrom   float64       `default:"10" env:"WHARF_SLOW_FROM" help:"Their usual service time in milliseconds."`
	SlowTo     float64       `default:"100" env:"WHARF_SLOW_TO" help:"Their service time during the trouble in milliseconds."`
	Targets    []string      `env:"WHARF_TARGETS" help:"URLs of stand-in targets whose arrivals are counted."`
	Capacity   float64       `env:"WHARF_CAPACITY" help:"User requests a second that the capacity left during the trouble allows."`

	Name string `default:"load" env:"WHARF_NAME" help:"Name of the run in the report."`
	JSON string `env:"WHARF_JSON" help:"File that the report is written to as JSON."`
}

// Run runs the load to its end, or to that of the context.
func (c *loadCommand) Run(ctx context.Context) error {
	var faults wharfcli.Issues
	for _, e := range c.Entries {
		faults.URL("entries", e)
	}
	classes, err := wharfload.ParseClasses(c.Classes)
	if err != nil {
		faults.Add("classes", "%v", err)
	}
	if c.Rate <= 0 {
		faults.Add("rate", "%v is not above 0", c.Rate)
	}
	faults.AtLeast("duration", c.Duration, time.Second)
	if len(faults) > 0 {
		return wharfcli.ExitError{Code: wharfcli.ExitUsage, Err: faults}
	}
	plan := wharfload.Plan{
		Name: c.Name, Entries: c.Entries, Service: c.Service, Classes: classes, Rate: c.Rate, Duration: c.Duration,
		Timeout: c.Timeout, Resends: c.Resends, Polite: c.Polite, Keys: c.Keys,
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
