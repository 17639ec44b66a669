// Command limpetrail runs every process of the system: the roles and the
// operators' tools are its subcommands.
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
	// SIGHUP makes a process read its log level from the settings again. Before
	// the settings are first read it has no effect, and must not end the process.
	signal.Ignore(syscall.SIGHUP)

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()

	return commander.NewCommander(os.Stdout, os.Stderr).Run(ctx, os.Args[1:])
}
