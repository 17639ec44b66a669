package commander

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"
)

// Commander runs one command line.
type Commander struct {
	Out io.Writer
	Err io.Writer
}

// NewCommander returns a commander that writes to the given streams.
func NewCommander(out, err io.Writer) *Commander {
	return &Commander{Out: out, Err: err}
}

// command is one subcommand: its flags are declared when it is added, and run
// is called when it was chosen.
type command struct {
	clause *kingpin.CmdClause
	run    func(ctx context.Context) error
}

// Run parses the arguments, runs the command and returns the exit code.
func (commander *Commander) Run(ctx context.Context, arguments []string) int {
	application := kingpin.New("limpetrail", "Serves online and batch inference on one fleet.")
	application.UsageWriter(commander.Out)
	application.ErrorWriter(commander.Err)

	// Help and version end the command without ending the process.
	ended := false

	application.Terminate(func(int) { ended = true })

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
		added := add(application)
		commands[added.clause.FullCommand()] = added
	}

	for _, add := range jobCommands() {
		added := add(commander, application)
		commands[added.clause.FullCommand()] = added
	}

	for _, added := range commander.config(application) {
		commands[added.clause.FullCommand()] = added
	}

	chosen, err := application.Parse(arguments)
	if ended {
		return ExitOK
	}

	if err != nil {
		fmt.Fprintln(commander.Err, "limpetrail:", err)

		return ExitUsage
	}

	return commander.finish(commands[chosen].run(ctx))
}

// finish prints the error of a command and returns the exit code for it.
func (commander *Commander) finish(err error) int {
	if err == nil {
		return ExitOK
	}

	fmt.Fprintln(commander.Err, "limpetrail:", err)

	switch {
	case errors.Is(err, errRefused):
		return ExitRefused
	case errors.Is(err, errConflict):
		return ExitConflict
	case errors.Is(err, errUnknown):
		return ExitUnknown
	case errors.Is(err, errors.NotValid):
		return ExitUsage
	default:
		return ExitFailed
	}
}
