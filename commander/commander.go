package commander

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"
)

// Commander runs one command of the command line.
type Commander struct {
	Out io.Writer
	Err io.Writer
}

// NewCommander returns a commander that writes to the given streams.
func NewCommander(out, err io.Writer) *Commander {
	return &Commander{Out: out, Err: err}
}

// command is one subcommand. Its flags are declared when it is added to the application;
// run is called if it was chosen.
type command struct {
	clause *kingpin.CmdClause
	run    func(ctx context.Context) error
}

// Run parses the arguments, runs the command and returns the exit code.
func (commander *Commander) Run(ctx context.Context, arguments []string) int {
	application := kingpin.New("limpetrail", "Serves online and batch inference on one fleet.")
	application.UsageWriter(commander.Out)
	application.ErrorWriter(commander.Err)

	// By default, kingpin exits the process after printing help.
	terminated := false

	application.Terminate(func(int) { terminated = true })

	commands := map[string]command{}
	for _, add := range []func(*kingpin.Application) command{
		commander.entry,
		commander.sidecar,
		commander.gateway,
		commander.holder,
		commander.check,
		commander.request,
		commander.timeLine,
		commander.status,
		commander.demo,
		commander.version,
		commander.completion,
	} {
		subcommand := add(application)
		commands[subcommand.clause.FullCommand()] = subcommand
	}

	for _, add := range jobCommands() {
		subcommand := add(commander, application)
		commands[subcommand.clause.FullCommand()] = subcommand
	}

	for _, subcommand := range commander.config(application) {
		commands[subcommand.clause.FullCommand()] = subcommand
	}

	chosen, err := application.Parse(arguments)
	if terminated {
		return ExitOK
	}

	if err != nil {
		fmt.Fprintln(commander.Err, "limpetrail:", err)

		return ExitUsage
	}

	return commander.exitCode(commands[chosen].run(ctx))
}

// exitCode prints the error of a command, if any, and returns its exit code.
func (commander *Commander) exitCode(err error) int {
	if err == nil {
		return ExitOK
	}

	fmt.Fprintln(commander.Err, "limpetrail:", err)

	switch {
	case errors.Is(err, errRefused):
		return ExitRefused
	case errors.Is(err, errConflict):
		return ExitConflict
	case errors.Is(err, errOutcomeUnknown):
		return ExitUnknown
	case errors.Is(err, errors.NotValid):
		return ExitUsage
	default:
		return ExitFailed
	}
}
