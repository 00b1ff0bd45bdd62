package wharfcli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Run runs a program with the arguments and output streams of the process and
// returns its exit code. SIGTERM and SIGINT cancel the context of the command.
func Run(name, description string, commands any, bind ...any) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	program := Program{
		Name:        name,
		Description: description,
		Args:        os.Args[1:],
		Stdout:      os.Stdout,
		Stderr:      os.Stderr,
		Context:     ctx,
		Bind:        bind,
	}
	kctx, code, done := program.Parse(commands)
	if done {
		return code
	}
	return program.RunCommand(kctx)
}
