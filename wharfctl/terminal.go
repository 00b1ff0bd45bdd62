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

// terminal prints the output of commands.
type terminal struct {
	out io.Writer
}

func (t *terminal) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(t.out, format, args...)
}

// logAccess holds the flags of commands that use the platform's log.
type logAccess struct {
	LogURL  string        `required:"" env:"WHARF_LOG_URL" help:"URL of the platform's append-only log."`
	Timeout time.Duration `default:"10s" env:"WHARF_TIMEOUT" help:"Total time to wait for the log."`
}

// session holds access to the log and the state at the start of a command.
type session struct {
	publisher wharfpublish.Publisher
	state     *wharfstate.State
}

// do reads the state from the log and calls command with it. The timeout covers
// both.
func (a logAccess) do(ctx context.Context, command func(ctx context.Context, s session) error) error {
	var issues wharfcli.Issues
	issues.CheckURL("log-url", a.LogURL)
	issues.CheckAtLeast("timeout", a.Timeout, time.Second)
	if len(issues) > 0 {
		return wharfcli.ExitError{Code: wharfcli.ExitUsage, Err: issues}
	}
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	s := session{publisher: wharfpublish.Publisher{LogClient: wharflog.NewClient(a.LogURL)}}
	var err error
	if s.state, err = s.publisher.State(ctx); err != nil {
		return err
	}
	return command(ctx, s)
}

// changeAccess holds the flags of commands that publish changes.
type changeAccess struct {
	logAccess
	authorship
}

// do checks that an author is given and then does the same as logAccess.do.
func (a changeAccess) do(ctx context.Context, command func(ctx context.Context, s session) error) error {
	if a.Author == "" {
		return wharfcli.ExitError{Code: wharfcli.ExitUsage, Err: wharfcli.Issues{"--author: is empty"}}
	}
	return a.logAccess.do(ctx, command)
}

// authorship holds the author of a change, the reason and the base offset.
type authorship struct {
	Author string `required:"" env:"WHARF_AUTHOR" help:"Author of the change, for the audit trail."`
	Note   string `env:"WHARF_NOTE" help:"Reason for the change."`
	Base   uint64 `env:"WHARF_BASE" help:"Offset of the configuration that the change is based on; the current offset if omitted."`
}

// readFiles parses files. It returns the documents of all files and every issue
// found in reading and parsing them.
func readFiles(paths []string) ([]wharfconfig.SourceDocument, wharfconfig.Issues) {
	var docs []wharfconfig.SourceDocument
	var issues wharfconfig.Issues
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			issues = append(issues, wharfconfig.Issue{Code: wharfconfig.CodeSyntax, File: path, Line: 1, Message: err.Error()})
			continue
		}
		parsed, parseIssues := wharfconfig.Parse(path, data)
		docs = append(docs, parsed...)
		issues = append(issues, parseIssues...)
	}
	return docs, issues
}

// invalid returns the error for files or labels that are not valid.
func invalid(issues wharfconfig.Issues) error {
	return wharfcli.ExitError{Code: wharfcli.ExitUsage, Err: issues}
}

// report prints the result of publishing a change: accepted, rejected or unknown.
// Unknown means that the change may have been published. The returned error carries
// the exit code; it is nil if the change was accepted.
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
		t.printf("  %s\n", describeConflict(c))
	}
	return wharfcli.ExitError{Code: exitRejected}
}

func describeConflict(c wharfconfig.Conflict) string {
	if c.Message != "" {
		return fmt.Sprintf("%s: %s", c.Key, c.Message)
	}
	if c.Change == "" {
		return fmt.Sprintf("%s: based on offset %d, but the object does not exist", c.Key, c.Base)
	}
	return fmt.Sprintf("%s: based on offset %d, but change %s updated the object at offset %d", c.Key, c.Base, c.Change, c.Current)
}

func joinKeys(keys []wharfconfig.ObjectKey) string {
	names := make([]string, len(keys))
	for i, k := range keys {
		names[i] = k.String()
	}
	return strings.Join(names, ", ")
}
