package kernel

import (
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"limpetrail/recorder"
)

// Common is the bundle that each part of the system embeds.
type Common struct {
	// Log carries the fixed prefix of the part; see ForPart.
	Log *logrus.Entry
	// Recorder keeps the instance's part of the time line.
	Recorder *recorder.Recorder
	// Metrics is the root scope, or the scope of the part.
	Metrics tally.Scope
	// Instance is this process's name, unique in the fleet.
	Instance string
	// DataCentre is where this process runs.
	DataCentre string
}

// NewCommon returns the bundle of a process.
func NewCommon(instance, dataCentre string, logger *logrus.Logger, metrics tally.Scope) Common {
	return Common{
		Log:        logrus.NewEntry(logger),
		Recorder:   recorder.NewRecorder(instance),
		Metrics:    metrics,
		Instance:   instance,
		DataCentre: dataCentre,
	}
}

// ForPart returns the bundle for one part: its log lines start with the part's
// name and its metrics carry it as their prefix.
func (common Common) ForPart(part string) Common {
	common.Log = common.Log.WithField(PartField, part)
	common.Metrics = common.Metrics.SubScope(part)

	return common
}

// Discard returns a bundle that logs nowhere, for tests.
func Discard(instance string) Common {
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)

	return NewCommon(instance, "", logger, tally.NoopScope)
}
