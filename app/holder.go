package app

import (
	"context"

	"github.com/juju/errors"

	"limpetrail/loader"
)

// Holder is the process of an instance with a disk. It keeps nothing there:
// what must last is in the platform's store.
type Holder struct {
	Settings loader.Holder
	// Reread returns the settings as the file has them now.
	Reread func() (loader.Holder, error)
}

// NewHolder returns a holder.
func NewHolder(settings loader.Holder, reread func() (loader.Holder, error)) *Holder {
	return &Holder{Settings: settings, Reread: reread}
}

// Run waits for the context's end.
func (holder *Holder) Run(ctx context.Context) error {
	logger, err := newOutputLogger(holder.Settings.Log)
	if err != nil {
		return errors.Trace(err)
	}

	logger.WithField("Instance", holder.Settings.Instance.Name).Info("Serving; nothing is kept here.")

	reloadOnHangup(ctx, logger, func() (loader.Log, error) {
		settings, err := holder.Reread()

		return settings.Log, err
	})
	logger.Info("Stopping.")

	return nil
}
