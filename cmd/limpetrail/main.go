// Command limpetrail is every process of the system: its roles and the
// operators' tools are subcommands.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"limpetrail/commander"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()

	return commander.NewCommander(os.Stdout, os.Stderr).Run(ctx, os.Args[1:])
}
