package commander

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"limpetrail/app"
	"limpetrail/loader"
)

func (commander *Commander) entry(application *kingpin.Application) command {
	clause := application.Command("entry", "Run an entry, between callers and sidecars.")
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

		// Runs outlive the signal to stop: the sidecar drains them.
		sidecar, err := app.NewSidecar(context.WithoutCancel(ctx), settings)
		if err != nil {
			return errors.Trace(err)
		}

		return sidecar.Run(ctx)
	}}
}

func (commander *Commander) gateway(application *kingpin.Application) command {
	clause := application.Command("gateway", "Run an entry that reaches backend servers itself.")
	path := clause.Flag("settings", "INI file of the gateway.").Required().String()

	return command{clause: clause, run: func(ctx context.Context) error {
		read := func() (loader.Gateway, error) {
			settings := loader.DefaultGateway()
			err := loader.Load(*path, &settings)

			return settings, err
		}

		settings, err := read()
		if err != nil {
			return errors.Trace(err)
		}

		gateway, err := app.NewGateway(settings)
		if err != nil {
			return errors.Trace(err)
		}

		gateway.ReloadSettings = read

		return gateway.Run(ctx)
	}}
}

func (commander *Commander) holder(application *kingpin.Application) command {
	clause := application.Command("holder", "Run the process of an instance with a disk.")
	path := clause.Flag("settings", "INI file of the holder.").Required().String()

	return command{clause: clause, run: func(ctx context.Context) error {
		read := func() (loader.Holder, error) {
			settings := loader.DefaultHolder()
			err := loader.Load(*path, &settings)

			return settings, err
		}

		settings, err := read()
		if err != nil {
			return errors.Trace(err)
		}

		holder, err := app.NewHolder(settings)
		if err != nil {
			return errors.Trace(err)
		}

		holder.ReloadSettings = read

		return holder.Run(ctx)
	}}
}
