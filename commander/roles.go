package commander

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"limpetrail/app"
	"limpetrail/loader"
)

func (commander *Commander) entry(application *kingpin.Application) command {
	clause := application.Command("entry", "Run an entry, which dispatches callers' requests to sidecars.")
	path := clause.Flag("settings", "INI file of the entry.").Required().String()

	return command{clause: clause, run: func(ctx context.Context) error {
		settings := loader.DefaultEntry()
		if err := loader.Load(*path, &settings); err != nil {
			return errors.Trace(err)
		}

		entry, err := app.NewEntry(settings)
		if err != nil {
			return errors.Trace(err)
		}

		return entry.Run(ctx)
	}}
}

func (commander *Commander) sidecar(application *kingpin.Application) command {
	clause := application.Command("sidecar", "Run a sidecar, beside a backend server.")
	path := clause.Flag("settings", "INI file of the sidecar.").Required().String()

	return command{clause: clause, run: func(ctx context.Context) error {
		settings := loader.DefaultSidecar()
		if err := loader.Load(*path, &settings); err != nil {
			return errors.Trace(err)
		}

		// The stop signal must not end runs: the sidecar lets them finish.
		sidecar, err := app.NewSidecar(context.WithoutCancel(ctx), settings)
		if err != nil {
			return errors.Trace(err)
		}

		return sidecar.Run(ctx)
	}}
}

func (commander *Commander) gateway(application *kingpin.Application) command {
	clause := application.Command("gateway", "Run a gateway, an entry that calls backend servers directly.")
	path := clause.Flag("settings", "INI file of the gateway.").Required().String()

	return command{clause: clause, run: func(ctx context.Context) error {
		readSettings := func() (loader.Gateway, error) {
			settings := loader.DefaultGateway()
			err := loader.Load(*path, &settings)

			return settings, err
		}

		settings, err := readSettings()
		if err != nil {
			return errors.Trace(err)
		}

		gateway, err := app.NewGateway(settings)
		if err != nil {
			return errors.Trace(err)
		}

		gateway.ReloadSettings = readSettings

		return gateway.Run(ctx)
	}}
}

func (commander *Commander) holder(application *kingpin.Application) command {
	clause := application.Command("holder", "Run a holder, which stores accepted jobs on the disk of its instance.")
	path := clause.Flag("settings", "INI file of the holder.").Required().String()

	return command{clause: clause, run: func(ctx context.Context) error {
		readSettings := func() (loader.Holder, error) {
			settings := loader.DefaultHolder()
			err := loader.Load(*path, &settings)

			return settings, err
		}

		settings, err := readSettings()
		if err != nil {
			return errors.Trace(err)
		}

		holder, err := app.NewHolder(settings)
		if err != nil {
			return errors.Trace(err)
		}

		holder.ReloadSettings = readSettings

		return holder.Run(ctx)
	}}
}
