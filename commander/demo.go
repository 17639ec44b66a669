package commander

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"limpetrail/demonstrator"
)

func (commander *Commander) demo(application *kingpin.Application) command {
	clause := application.Command("demo", "Run a small fleet with simulated backend servers in one process, on loopback ports.")
	addresses := clause.Flag("addresses", "File to write the addresses to, as JSON.").String()
	once := clause.Flag("once", "Send one request of each kind, print the outcomes and exit.").Bool()

	return command{clause: clause, run: func(ctx context.Context) error {
		demo := demonstrator.NewDemonstrator(commander.Out)
		demo.AddressesFile = *addresses
		demo.Once = *once

		return errors.Trace(demo.Run(ctx))
	}}
}
