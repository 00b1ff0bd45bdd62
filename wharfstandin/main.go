package main

import (
	"os"

	"github.com/alecthomas/kong"

	"ragwortwharf.dev/wharf/wharfcli"
)

// commands lists the commands of wharfstandin.
type commands struct {
	Log     logCommand       `cmd:"" help:"Run a stand-in for the platform's append-only log."`
	Target  targetCommand    `cmd:"" help:"Run a stand-in for a target."`
	Load    loadCommand      `cmd:"" help:"Send load to nodes and measure what the callers see."`
	Spread  spreadCommand    `cmd:"" help:"Measure how long configuration changes take to reach every node."`
	Version kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	os.Exit(run())
}

// run executes the command that the arguments name and returns the exit code.
func run() int {
	return wharfcli.Run("wharfstandin", "Stand-ins for tests and experiments.", &commands{})
}
