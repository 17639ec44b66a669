package app

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"limpetrail/loader"
)

// reloadLogLevelOnHangup reads the log level from the settings file at each SIGHUP. All
// other settings apply only at the next start, as they include the process's addresses
// and identity. Invalid settings change nothing.
func reloadLogLevelOnHangup(ctx context.Context, logger *logrus.Logger, read func() (loader.Log, error)) {
	hangup := make(chan os.Signal, 1)
	// There is no signal.Stop: without a registered channel, SIGHUP would end the process.
	signal.Notify(hangup, syscall.SIGHUP)

	for {
		select {
		case <-hangup:
		case <-ctx.Done():
			return
		}

		settings, err := read()
		if err != nil {
			logger.WithError(err).Error("Settings file cannot be reloaded; the current log level stays.")

			continue
		}

		level, err := logrus.ParseLevel(settings.Level)
		if err != nil {
			logger.WithError(err).Error("Log level in the settings file is invalid; the current one stays.")

			continue
		}

		logger.SetLevel(level)
		logger.WithField("Level", settings.Level).Info("Log level was reloaded from the settings file.")
	}
}
