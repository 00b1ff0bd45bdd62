package main

import (
	"os"

	"github.com/alecthomas/kong"

	"ragwortwharf.dev/wharf/wharfcli"
)

// Exit codes besides those that all programs share.
const (
	exitRejected = 3
	exitUnknown  = 4
)

// commands are the commands of wharfctl.
type commands struct {
	Validate validateCommand  `cmd:"" help:"Check configuration files and report every fault."`
	Publish  publishCommand   `cmd:"" help:"Publish configuration files."`
	Delete   deleteCommand    `cmd:"" help:"Publish the removal of objects."`
	Label    labelCommand     `cmd:"" help:"Change the labels of a target."`
	Evict    evictCommand     `cmd:"" help:"End the ownership of keys of a node that is gone."`
	Status   statusCommand    `cmd:"" help:"Show the state of a node."`
	Explain  explainCommand   `cmd:"" help:"Show how a request would be treated and why."`
	History  historyCommand   `cmd:"" help:"Show the changes of objects."`
	Audit    auditCommand     `cmd:"" help:"Show who changed what, and what nodes did by themselves."`
	Trace    traceCommand     `cmd:"" help:"Show what the logs of nodes say of one request."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	os.Exit(run())
}

// run returns the exit code.
func run() int {
	return wharfcli.Run("wharfctl", "Operates ragwortwharf.", &commands{}, &terminal{out: os.Stdout})
}
