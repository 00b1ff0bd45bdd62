package wharfcli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"

	"github.com/alecthomas/kong"
	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"
)

// Exit codes of the programs.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// Version is the version of the programs. The build sets it with -ldflags.
var Version = "dev"

// Program describes a program and its command line.
type Program struct {
	Name        string
	Description string
	Args        []string
	Stdout      io.Writer
	Stderr      io.Writer
	// Context and Bind are the values that kong passes to the Run methods of
	// commands, by the types of their parameters.
	Context context.Context
	Bind    []any
}

// Checker is implemented by a command line that checks its settings after
// parsing.
type Checker interface {
	Check() Issues
}

// exitCode is the panic value that passes the exit code of --help and --version
// out of the parser.
type exitCode int

// Parse parses the command line into a pointer to a struct with kong tags. If
// done is true, the program must exit with code. Parse prints usage errors and
// issues to Stderr. It panics if the struct is not valid for kong.
func (p Program) Parse(into any) (kctx *kong.Context, code int, done bool) {
	defer func() {
		if e, ok := recover().(exitCode); ok {
			code, done = int(e), true
		}
	}()
	parser, err := kong.New(into,
		kong.Name(p.Name),
		kong.Description(p.Description),
		kong.Writers(p.Stdout, p.Stderr),
		kong.Exit(func(code int) { panic(exitCode(code)) }),
		kong.Vars{"version": p.Name + " " + Version},
		kong.Bind(p.Bind...),
		kong.BindTo(p.Context, (*context.Context)(nil)),
	)
	if err != nil {
		panic(err)
	}
	kctx, err = parser.Parse(p.Args)
	if err != nil {
		_, _ = fmt.Fprintf(p.Stderr, "%s: %v\n", p.Name, err)
		return nil, ExitUsage, true
	}
	if checker, ok := into.(Checker); ok {
		if issues := checker.Check(); len(issues) > 0 {
			_, _ = fmt.Fprintf(p.Stderr, "%s: %d faulty settings\n%v\n", p.Name, len(issues), issues)
			return nil, ExitUsage, true
		}
	}
	return kctx, ExitOK, false
}

// Logs holds the logging settings that the programs share.
type Logs struct {
	LogFormat string `default:"text" enum:"text,json" env:"WHARF_LOG_FORMAT" help:"Log format: text or json."`
	LogLevel  string `default:"info" enum:"debug,info,warn,error" env:"WHARF_LOG_LEVEL" help:"Lowest level that is logged."`
}

// Logger returns a logger with the settings, and its handler. The log lines are
// written only while WriteLines or the handler's Run is active.
func (l Logs) Logger() (*log.Logger, *RateLimitedHandler) {
	format := func(w io.Writer) log.Handler { return text.New(w) }
	if l.LogFormat == "json" {
		format = func(w io.Writer) log.Handler { return json.New(w) }
	}
	handler := NewRateLimitedHandler(format)
	logger := &log.Logger{Level: log.InfoLevel, Handler: handler}
	if level, err := log.ParseLevel(l.LogLevel); err == nil {
		logger.Level = level
	}
	return logger, handler
}

// WriteLines starts a goroutine that writes the log lines of a handler to w. The
// returned function stops it, after it has written the queued lines or the flush
// timeout has passed.
func WriteLines(handler *RateLimitedHandler, w io.Writer) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { handler.Run(ctx, w) })
	return func() {
		cancel()
		group.Wait()
	}
}

// Issues lists the issues of settings, one message each.
type Issues []string

// Error returns the issues, one on each line, indented.
func (list Issues) Error() string {
	return "  " + strings.Join(list, "\n  ")
}

// Add adds an issue of a flag.
func (list *Issues) Add(flag, format string, args ...any) {
	*list = append(*list, "--"+flag+": "+fmt.Sprintf(format, args...))
}

// RunCommand runs the parsed command, prints its error to Stderr and returns the
// exit code.
func (p Program) RunCommand(kctx *kong.Context) int {
	err := kctx.Run()
	if err == nil {
		return ExitOK
	}
	var exitErr ExitError
	if errors.As(err, &exitErr) {
		if exitErr.Err != nil {
			_, _ = fmt.Fprintf(p.Stderr, "%s: %v\n", p.Name, exitErr.Err)
		}
		return exitErr.Code
	}
	_, _ = fmt.Fprintf(p.Stderr, "%s: %v\n", p.Name, err)
	return ExitFailure
}

// ExitError is an error of a command that sets the exit code. If Err is nil,
// nothing is printed.
type ExitError struct {
	Code int
	Err  error
}

// Error returns the message of Err, or "exit" if it is nil.
func (e ExitError) Error() string {
	if e.Err == nil {
		return "exit"
	}
	return e.Err.Error()
}
