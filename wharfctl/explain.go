package main

import (
	"context"
	"time"

	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharfctl/internal/wharfpublish"
)

// explainCommand shows how a request would be treated.
type explainCommand struct {
	LogURL  string        `env:"WHARF_LOG_URL" help:"URL of the platform's append-only log; without it only the files count."`
	Timeout time.Duration `default:"10s" env:"WHARF_TIMEOUT" help:"Longest wait for the log."`
	Files   []string      `short:"f" help:"Configuration files that are taken as published."`
	Service string        `required:"" help:"Service of the request."`
	Method  string        `default:"GET" help:"Method of the request."`
	Path    string        `default:"/" help:"Path of the request."`
	Caller  string        `help:"Caller of the request."`
}

// Run prints the treatment and the rules that decided it.
func (c *explainCommand) Run(ctx context.Context, t *terminal) error {
	config, err := c.config(ctx)
	if err != nil {
		return err
	}
	p := config.Classify(wharfconfig.RequestAttributes{Service: c.Service, Method: c.Method, Path: c.Path, Caller: c.Caller})
	if !config.HasService(c.Service) {
		t.printf("service %s is not configured\n", c.Service)
	}
	t.printf("labels      %s\n", p.Labels)
	t.printf("class       %-16s rank %d, %s\n", p.Class.Name, p.Class.Rank, by(p.ClassRule))
	t.printf("idempotent  %-16v %s\n", p.Idempotent, by(p.IdempotentRule))
	t.printf("timeout     %-16v %s\n", p.Timeout, by(p.TimeoutRule))
	t.printf("attempts    %-16d %s\n", p.Attempts, by(p.AttemptsRule))
	return nil
}

func by(rule string) string {
	if rule == "" {
		return "by default"
	}
	return "by rule " + rule
}

// config returns what is in force, with the files taken as published.
func (c *explainCommand) config(ctx context.Context) (*wharfconfig.Snapshot, error) {
	var config *wharfconfig.Snapshot
	if c.LogURL != "" {
		err := logAccess{LogURL: c.LogURL, Timeout: c.Timeout}.do(ctx, func(_ context.Context, s session) error {
			config = s.state.Config()
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	docs, faults := readFiles(c.Files)
	faults = append(faults, wharfconfig.Validate(docs, config)...)
	if len(faults) > 0 {
		return nil, invalid(faults)
	}
	return withDocuments(config, docs), nil
}

func withDocuments(config *wharfconfig.Snapshot, docs []wharfconfig.SourceDocument) *wharfconfig.Snapshot {
	change := wharfpublish.ProposedChange(config, docs)
	return config.WithChanges([]wharfconfig.LoggedChange{change})
}
