package commander

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"limpetrail/demonstrator"
)

func (commander *Commander) demo(application *kingpin.Application) command {
	clause := application.Command("demo", "Run a small fleet with stand-ins in one process on loopback ports.")
	addresses := clause.Flag("addresses", "File that gets the addresses as JSON.").String()
	once := clause.Flag("once", "Serve one request of each kind, tell what came of it, and end.").Bool()

	return command{clause: clause, run: func(ctx context.Context) error {
		demo := demonstrator.NewDemonstrator(commander.Out)
		demo.AddressesFile = *addresses
		demo.Once = *once

		return errors.Trace(demo.Run(ctx))
	}}
}
