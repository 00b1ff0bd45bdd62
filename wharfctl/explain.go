package main

import (
	"context"
	"errors"
	"slices"
	"time"

	"ragwortwharf.dev/wharf/wharfcli"
	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharfctl/internal/wharfpublish"
)

// explainCommand prints the class, timeout and other settings that a request
// would get. With a node it also prints where the node would send the request now.
type explainCommand struct {
	LogURL  string        `env:"WHARF_LOG_URL" help:"URL of the platform's append-only log; if it is empty, only the files are used."`
	Timeout time.Duration `default:"10s" env:"WHARF_TIMEOUT" help:"Total time to wait for the log."`
	Files   []string      `short:"f" help:"Configuration files to treat as if they were published."`
	Node    string        `help:"Admin URL of a running node, which explains where it would send the request now; the request isn't sent."`
	Service string        `help:"Service of the request; required unless --host is given."`
	Host    string        `help:"Host of the request, which selects a route; needs --node."`
	Method  string        `default:"GET" help:"Method of the request."`
	Path    string        `default:"/" help:"Path of the request."`
	Caller  string        `help:"Caller of the request."`
	Account string        `help:"Name of the client account whose key the caller sends; needs --node."`
	Format  string        `default:"text" enum:"text,json" help:"Output format: text, or json with --node."`
}

// Run prints the settings of the request and the rule that each comes from.
func (c *explainCommand) Run(ctx context.Context, t *terminal) error {
	if err := c.check(); err != nil {
		return wharfcli.ExitError{Code: wharfcli.ExitUsage, Err: err}
	}
	if c.Node != "" {
		return c.explainAtNode(ctx, t)
	}
	config, err := c.config(ctx)
	if err != nil {
		return err
	}
	p := config.Classify(wharfconfig.RequestAttributes{Service: c.Service, Method: c.Method, Path: c.Path, Caller: c.Caller})
	if !config.HasService(c.Service) {
		t.printf("service %s is not configured\n", c.Service)
	}
	t.printf("labels      %s\n", p.Labels)
	t.printSettings(explainedSettings{
		Class: p.Class.Name, Rank: p.Class.Rank, ClassRule: p.ClassRule,
		Idempotent: p.Idempotent, IdempotentRule: p.IdempotentRule, TimeoutRule: p.TimeoutRule,
		Attempts: p.Attempts, AttemptsRule: p.AttemptsRule,
	}, p.Timeout, ruleText)
	return nil
}

// explainedSettings holds the settings of a request and the rules that they come from.
type explainedSettings struct {
	Class          string `json:"class"`
	Rank           int    `json:"rank"`
	ClassRule      string `json:"class-rule"`
	Idempotent     bool   `json:"idempotent"`
	IdempotentRule string `json:"idempotent-rule"`
	TimeoutRule    string `json:"timeout-rule"`
	Attempts       int    `json:"attempts"`
	AttemptsRule   string `json:"attempts-rule"`
}

// printSettings prints the settings of a request. The function source describes a rule.
func (t *terminal) printSettings(s explainedSettings, timeout time.Duration, source func(rule string) string) {
	t.printf("class       %-16s rank %d, %s\n", s.Class, s.Rank, source(s.ClassRule))
	t.printf("idempotent  %-16v %s\n", s.Idempotent, source(s.IdempotentRule))
	t.printf("timeout     %-16v %s\n", timeout, source(s.TimeoutRule))
	t.printf("attempts    %-16d %s\n", s.Attempts, source(s.AttemptsRule))
}

// check returns an error if flags are missing or contradict each other.
func (c *explainCommand) check() error {
	var issues wharfcli.Issues
	switch {
	case c.Node == "" && c.Service == "":
		return errors.New("missing flags: --service=STRING")
	case c.Node == "":
		for flag, set := range map[string]bool{"host": c.Host != "", "account": c.Account != "", "format": c.Format != "text"} {
			if set {
				issues.Add(flag, "needs --node")
			}
		}
		slices.Sort(issues)
	case c.Service == "" && c.Host == "":
		return errors.New("missing flags: --service=STRING or --host=STRING")
	case len(c.Files) > 0:
		issues.Add("files", "can't be used with --node")
	}
	if len(issues) > 0 {
		return issues
	}
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
