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

// Version is the version of the programs; the build sets it.
var Version = "dev"

// Program is a command line to parse.
type Program struct {
	Name        string
	Description string
	Args        []string
	Stdout      io.Writer
	Stderr      io.Writer
	// Context and Bind are what the Run methods of commands can ask for.
	Context context.Context
	Bind    []any
}

// Checker is a command line that can report faults of its values.
type Checker interface {
	Check() Issues
}

// exited carries the exit code of --help and --version out of the parser.
type exited int

// Parse reads the command line into a value. If done is true the program ends
// with the code.
func (p Program) Parse(into any) (kctx *kong.Context, code int, done bool) {
	defer func() {
		if e, ok := recover().(exited); ok {
			code, done = int(e), true
		}
	}()
	parser, err := kong.New(into,
		kong.Name(p.Name),
		kong.Description(p.Description),
		kong.Writers(p.Stdout, p.Stderr),
		kong.Exit(func(code int) { panic(exited(code)) }),
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
	if checked, ok := into.(Checker); ok {
		if faults := checked.Check(); len(faults) > 0 {
			_, _ = fmt.Fprintf(p.Stderr, "%s: %d faulty settings\n%v\n", p.Name, len(faults), faults)
			return nil, ExitUsage, true
		}
	}
	return kctx, ExitOK, false
}

// Logs are the settings of logs that the programs share.
type Logs struct {
	LogFormat string `default:"text" enum:"text,json" env:"WHARF_LOG_FORMAT" help:"Form of the logs: text or json."`
	LogLevel  string `default:"info" enum:"debug,info,warn,error" env:"WHARF_LOG_LEVEL" help:"Least level that is logged."`
}

// Logger returns a logger with the settings, and what writes its lines.
func (l Logs) Logger() (*log.Logger, *RateLimitedHandler) {
	format := func(w io.Writer) log.Handler { return text.New(w) }
	if l.LogFormat == "json" {
		format = func(w io.Writer) log.Handler { return json.New(w) }
	}
	lines := NewRateLimitedHandler(format)
	logger := &log.Logger{Level: log.InfoLevel, Handler: lines}
	if level, err := log.ParseLevel(l.LogLevel); err == nil {
		logger.Level = level
	}
	return logger, lines
}

// WriteLines writes the lines of a log until the returned function is called,
// which waits until the last one is written.
func WriteLines(lines *RateLimitedHandler, w io.Writer) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { lines.Run(ctx, w) })
	return func() {
		cancel()
		group.Wait()
	}
}

// Issues lists what is wrong with settings.
type Issues []string

// Error returns the faults, one a line.
func (f Issues) Error() string {
	return "  " + strings.Join(f, "\n  ")
}

// Add notes a fault of a flag.
func (f *Issues) Add(flag, format string, args ...any) {
	*f = append(*f, "--"+flag+": "+fmt.Sprintf(format, args...))
}

// Finish runs the command that was parsed and returns the exit code.
func (p Program) Finish(kctx *kong.Context) int {
	err := kctx.Run()
	if err == nil {
		return ExitOK
	}
	var coded ExitError
	if errors.As(err, &coded) {
		if coded.Err != nil {
			_, _ = fmt.Fprintf(p.Stderr, "%s: %v\n", p.Name, coded.Err)
		}
		return coded.Code
	}
	_, _ = fmt.Fprintf(p.Stderr, "%s: %v\n", p.Name, err)
	return ExitFailure
}

// ExitError ends a program with a code of its own. Without Err nothing more is
// printed.
type ExitError struct {
	Code int
	Err  error
}

// Error returns the text of the cause.
func (e ExitError) Error() string {
	if e.Err == nil {
		return "exit"
	}
	return e.Err.Error()
}
