package main

import (
	"os"

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

// run returns the exit code.
func run() int {
	return wharfcli.Run("wharfstandin", "Stand-ins for tests and experiments.", &commands{})
}
