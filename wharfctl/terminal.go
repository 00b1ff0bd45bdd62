package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"ragwortwharf.dev/wharf/wharfcli"
	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharf/wharflog"
	"ragwortwharf.dev/wharf/wharfstate"
	"ragwortwharf.dev/wharfctl/internal/wharfpublish"
)

// terminal is where commands print to.
type terminal struct {
	out io.Writer
}

func (t *terminal) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(t.out, format, args...)
}

// logAccess is what commands need to reach the platform's log.
type logAccess struct {
	LogURL  string        `required:"" env:"WHARF_LOG_URL" help:"URL of the platform's append-only log."`
	Timeout time.Duration `default:"10s" env:"WHARF_TIMEOUT" help:"Longest wait for the log."`
}

// session is the log as a command finds it.
type session struct {
	publisher wharfpublish.Publisher
	state     *wharfstate.State
}

// do reads the state from the log and hands it to a command.
func (a logAccess) do(ctx context.Context, command func(ctx context.Context, s session) error) error {
	var faults wharfcli.Issues
	faults.URL("log-url", a.LogURL)
	faults.AtLeast("timeout", a.Timeout, time.Second)
	if len(faults) > 0 {
		return wharfcli.ExitError{Code: wharfcli.ExitUsage, Err: faults}
	}
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	s := session{publisher: wharfpublish.Publisher{Platform: wharflog.NewClient(a.LogURL)}}
	var err error
	if s.state, err = s.publisher.State(ctx); err != nil {
		return err
	}
	return command(ctx, s)
}

// changeAccess is what commands need that change something.
type changeAccess struct {
	logAccess
	authorship
}

// do reads the state from the log and hands it to a command of an author.
func (a changeAccess) do(ctx context.Context, command func(ctx context.Context, s session) error) error {
	if a.Author == "" {
		return wharfcli.ExitError{Code: wharfcli.ExitUsage, Err: wharfcli.Issues{"--author: is empty"}}
	}
	return a.logAccess.do(ctx, command)
}

// authorship says who makes a change, and against what.
type authorship struct {
	Author string `required:"" env:"WHARF_AUTHOR" help:"Who makes the change, for the audit trail."`
	Note   string `env:"WHARF_NOTE" help:"Why the change is made."`
	Base   uint64 `env:"WHARF_BASE" help:"Offset of the configuration that the change was made against; the present one if left out."`
}

// readFiles parses files and returns every fault of their form.
func readFiles(paths []string) ([]wharfconfig.SourceDocument, wharfconfig.Issues) {
	var docs []wharfconfig.SourceDocument
	var faults wharfconfig.Issues
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			faults = append(faults, wharfconfig.Issue{Code: wharfconfig.CodeSyntax, File: path, Line: 1, Message: err.Error()})
			continue
		}
		found, f := wharfconfig.Parse(path, data)
		docs = append(docs, found...)
		faults = append(faults, f...)
	}
	return docs, faults
}

func invalid(faults wharfconfig.Issues) error {
	return wharfcli.ExitError{Code: wharfcli.ExitUsage, Err: faults}
}

// report prints what became of a change and returns the exit code.
func (t *terminal) report(r wharfpublish.Result) error {
	switch {
	case !r.Known:
		t.printf("unknown: look for the change with wharfctl history before you publish again\n")
		return wharfcli.ExitError{Code: exitUnknown, Err: r.Err}
	case r.Err != nil:
		return r.Err
	case r.Decision.Accepted:
		t.printf("accepted at offset %d: %s\n", r.Decision.Offset, joinKeys(r.Decision.Keys))
		return nil
	}
	t.printf("rejected at offset %d\n", r.Decision.Offset)
	for _, c := range r.Decision.Conflicts {
		t.printf("  %s\n", describe(c))
	}
	return wharfcli.ExitError{Code: exitRejected}
}

func describe(c wharfconfig.Conflict) string {
	if c.Message != "" {
		return fmt.Sprintf("%s: %s", c.Key, c.Message)
	}
	if c.Change == "" {
		return fmt.Sprintf("%s: made against offset %d, but the object does not exist", c.Key, c.Base)
	}
	return fmt.Sprintf("%s: made against offset %d, but change %s moved it to offset %d", c.Key, c.Base, c.Change, c.Current)
}

func joinKeys(keys []wharfconfig.ObjectKey) string {
	names := make([]string, len(keys))
	for i, k := range keys {
		names[i] = k.String()
	}
	return strings.Join(names, ", ")
}
