package main

import (
	"context"
	"time"

	"ragwortwharf.dev/wharf/wharfcli"
	"ragwortwharf.dev/wharfstandin/internal/wharfhttp"
	"ragwortwharf.dev/wharfstandin/internal/wharftargetservice"
)

// targetCommand runs the stand-in for a target.
type targetCommand struct {
	Listen      string            `default:"127.0.0.1:7500" env:"WHARF_LISTEN" help:"IP:port to listen on."`
	Service     string            `required:"" env:"WHARF_SERVICE" help:"Service that the target belongs to."`
	Slots       int               `default:"50" env:"WHARF_SLOTS" help:"Requests that the target runs at a time."`
	Announce    int               `env:"WHARF_ANNOUNCE_SLOTS" help:"Slots to announce; the value of --slots if 0."`
	ServiceTime time.Duration     `default:"10ms" env:"WHARF_SERVICE_TIME" help:"Service time of a request."`
	ColdStart   time.Duration     `env:"WHARF_COLD_START" help:"Time after the start during which requests take five times as long."`
	ShedAt      int               `env:"WHARF_SHED_AT" help:"Number of waiting requests above which the target refuses requests; 0 for no limit."`
	Calls       []string          `env:"WHARF_CALLS" help:"Services to call one after the other for each request."`
	CallPath    string            `default:"/work" env:"WHARF_CALL_PATH" help:"Path of the calls to other services."`
	NodeAdmin   string            `default:"http://127.0.0.1:7002" env:"WHARF_NODE_ADMIN" help:"Admin URL of the node on this VM."`
	NodeCaller  string            `default:"http://127.0.0.1:7000" env:"WHARF_NODE_CALLER" help:"Caller URL of the node on this VM."`
	Ignore      bool              `name:"ignore-cancellation" env:"WHARF_IGNORE_CANCELLATION" help:"Keep working on a request after its caller has disconnected."`
	Labels      map[string]string `env:"WHARF_LABELS" help:"Labels to announce."`
}

// Run serves until the context ends. Then the target leaves its node, and the
// server shuts down.
func (c *targetCommand) Run(ctx context.Context) error {
	var issues wharfcli.Issues
	issues.CheckAddress("listen", c.Listen)
	issues.CheckURL("node-admin", c.NodeAdmin)
	issues.CheckURL("node-caller", c.NodeCaller)
	if c.Slots < 1 {
		issues.Add("slots", "%d is less than 1", c.Slots)
	}
	if len(issues) > 0 {
		return wharfcli.ExitError{Code: wharfcli.ExitUsage, Err: issues}
	}
	if c.Announce == 0 {
		c.Announce = c.Slots
	}
	t := wharftargetservice.New(wharftargetservice.Config{
		Service: c.Service, Address: c.Listen, Slots: c.Slots, AnnouncedSlots: c.Announce,
		ServiceTime: c.ServiceTime, ColdStart: c.ColdStart, ShedAt: c.ShedAt,
		DownstreamServices: c.Calls, CallPath: c.CallPath, NodeAdmin: c.NodeAdmin, NodeCaller: c.NodeCaller, Labels: c.Labels,
		IgnoreCancellation: c.Ignore,
	})
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go t.Run(ctx, stop)
	return wharfhttp.Serve(serveCtx, c.Listen, t.Handler())
}
