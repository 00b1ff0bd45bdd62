package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"ragwortwharf.dev/wharf/wharfcli"
	"ragwortwharf.dev/wharfnode/wharfevents"
	"ragwortwharf.dev/wharfnode/wharfmemory"
	"ragwortwharf.dev/wharfnode/wharfserver"
	"ragwortwharf.dev/wharfnode/wharfsettings"
)

const (
	// reservedMemory is the memory that a VM reserves for the process, in bytes. It is the
	// bound that the users set for control on a node.
	reservedMemory = 128 << 20
	// runtimePercent leaves 16 MB of it for what the runtime doesn't count. A full table
	// of keys needs the rest, see docs/CAPACITY.md.
	runtimePercent = 87
)

func main() {
	wharfmemory.SetLimit(reservedMemory, runtimePercent)
	os.Exit(run())
}

// run parses the settings, runs the node until SIGTERM or SIGINT arrives and
// the planned stop is done, and returns the exit code.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var settings wharfsettings.Settings
	program := wharfcli.Program{
		Name:        "wharfnode",
		Description: "Runs a node of ragwortwharf beside a target.",
		Args:        os.Args[1:],
		Stdout:      os.Stdout,
		Stderr:      os.Stderr,
		Context:     ctx,
	}
	if _, code, done := program.Parse(&settings); done {
		return code
	}
	logger, lines := settings.Logger()
	defer wharfcli.WriteLines(lines, os.Stdout)()
	log := wharfevents.NewLog(logger, lines)
	if err := wharfserver.New(settings.WithDefaults(), log).Run(ctx); err != nil {
		return wharfcli.ExitFailure
	}
	return wharfcli.ExitOK
}
