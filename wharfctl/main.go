package main

import (
	"os"

	"github.com/alecthomas/kong"

	"ragwortwharf.dev/wharf/wharfcli"
)

// Exit codes in addition to those that all programs share.
const (
	exitRejected = 3 // the change was rejected
	exitUnknown  = 4 // the change may or may not have been published
)

// commands is the command line of wharfctl.
type commands struct {
	Validate validateCommand  `cmd:"" help:"Check configuration files and report every issue."`
	Publish  publishCommand   `cmd:"" help:"Publish configuration files."`
	Delete   deleteCommand    `cmd:"" help:"Publish the removal of configuration objects."`
	Label    labelCommand     `cmd:"" help:"Change the labels of a target."`
	Evict    evictCommand     `cmd:"" help:"End the key ownership of a node that is permanently down."`
	Status   statusCommand    `cmd:"" help:"Show the state of a node."`
	Explain  explainCommand   `cmd:"" help:"Show how a request would be treated and why."`
	History  historyCommand   `cmd:"" help:"Show the changes of configuration objects."`
	Audit    auditCommand     `cmd:"" help:"Show the changes by operators and the automatic actions of nodes."`
	Trace    traceCommand     `cmd:"" help:"Show the lines about one request in the logs of nodes."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	os.Exit(run())
}

// run executes the command line and returns the exit code.
func run() int {
	return wharfcli.Run("wharfctl", "Operates ragwortwharf.", &commands{}, &terminal{out: os.Stdout})
}
