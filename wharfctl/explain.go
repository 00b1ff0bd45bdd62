package main

import (
	"context"
	"time"

	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharfctl/internal/wharfpublish"
)

// explainCommand prints the class, timeout and other settings that a request
// would get.
type explainCommand struct {
	LogURL  string        `env:"WHARF_LOG_URL" help:"URL of the platform's append-only log; if it is empty, only the files are used."`
	Timeout time.Duration `default:"10s" env:"WHARF_TIMEOUT" help:"Total time to wait for the log."`
	Files   []string      `short:"f" help:"Configuration files to treat as if they were published."`
	Service string        `required:"" help:"Service of the request."`
	Method  string        `default:"GET" help:"Method of the request."`
	Path    string        `default:"/" help:"Path of the request."`
	Caller  string        `help:"Caller of the request."`
}

// Run prints the settings of the request and the rule that each comes from.
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
	t.printf("class       %-16s rank %d, %s\n", p.Class.Name, p.Class.Rank, ruleText(p.ClassRule))
	t.printf("idempotent  %-16v %s\n", p.Idempotent, ruleText(p.IdempotentRule))
	t.printf("timeout     %-16v %s\n", p.Timeout, ruleText(p.TimeoutRule))
	t.printf("attempts    %-16d %s\n", p.Attempts, ruleText(p.AttemptsRule))
	return nil
}

// ruleText describes which rule set a value; an empty rule means the default.
func ruleText(rule string) string {
	if rule == "" {
		return "by default"
	}
	return "by rule " + rule
}

// config returns the current configuration with the files applied on top of it.
// Without a log URL the current configuration is empty.
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
	docs, issues := readFiles(c.Files)
	issues = append(issues, wharfconfig.Validate(docs, config)...)
	if len(issues) > 0 {
		return nil, invalid(issues)
	}
	return withDocuments(config, docs), nil
}

// withDocuments returns the configuration after a change with the documents.
func withDocuments(config *wharfconfig.Snapshot, docs []wharfconfig.SourceDocument) *wharfconfig.Snapshot {
	change := wharfpublish.ProposedChange(config, docs)
	return config.WithChanges([]wharfconfig.LoggedChange{change})
}
