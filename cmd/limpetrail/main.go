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
	// A hangup that comes before the settings are read says nothing new, and
	// must not end the process.
	signal.Ignore(syscall.SIGHUP)

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()

	return commander.NewCommander(os.Stdout, os.Stderr).Run(ctx, os.Args[1:])
}
