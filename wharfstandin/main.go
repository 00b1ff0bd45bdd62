package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"ragwortwharf.dev/wharf/wharfcli"
)

// commands are the stand-ins.
type commands struct {
	Log     logCommand       `cmd:"" help:"Stand in for the platform's append-only log."`
	Target  targetCommand    `cmd:"" help:"Stand in for a target."`
	Load    loadCommand      `cmd:"" help:"Put load on nodes and measure what callers see."`
	Spread  spreadCommand    `cmd:"" help:"Measure how long changes of configuration take to be in force everywhere."`
	Version kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	program := wharfcli.Program{
		Name:        "wharfstandin",
		Description: "Stand-ins for tests and experiments.",
		Args:        os.Args[1:],
		Stdout:      os.Stdout,
		Stderr:      os.Stderr,
		Context:     ctx,
	}
	kctx, code, done := program.Parse(&commands{})
	if done {
		return code
	}
	return program.Finish(kctx)
}
