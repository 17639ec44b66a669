package app

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"limpetrail/loader"
)

// reloadOnHangup takes the log's level from the settings file at each SIGHUP.
// The other settings hold until the next start: they say where the process
// listens and who it is. Bad settings change nothing.
func reloadOnHangup(ctx context.Context, logger *logrus.Logger, read func() (loader.Log, error)) {
	hangup := make(chan os.Signal, 1)
	// The channel stays until the process ends: without it SIGHUP would end it.
	signal.Notify(hangup, syscall.SIGHUP)

	for {
		select {
		case <-hangup:
		case <-ctx.Done():
			return
		}

		settings, err := read()
		if err != nil {
			logger.WithError(err).Error("Settings cannot be read again; the present ones stay.")

			continue
		}

		level, err := logrus.ParseLevel(settings.Level)
		if err != nil {
			logger.WithError(err).Error("Log level cannot be read; the present one stays.")

			continue
		}

		logger.SetLevel(level)
		logger.WithField("Level", settings.Level).Info("Settings were read again.")
	}
}
