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
