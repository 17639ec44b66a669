package kernel

import (
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"limpetrail/recorder"
)

// Common holds the log, event recorder and metrics scope that each part of the
// process embeds.
type Common struct {
	// Log adds the part's name to each line; see ForPart.
	Log *logrus.Entry
	// Recorder stores the events of this instance's time line.
	Recorder *recorder.Recorder
	// Metrics is the root scope, or the scope of the part.
	Metrics tally.Scope
	// Instance is this process's name; it is unique in the fleet.
	Instance string
	// DataCentre is the data centre in which this process runs.
	DataCentre string
}

// NewCommon returns the Common of a process.
func NewCommon(instance, dataCentre string, logger *logrus.Logger, metrics tally.Scope) Common {
	return Common{
		Log:        logrus.NewEntry(logger),
		Recorder:   recorder.NewRecorder(instance),
		Metrics:    metrics,
		Instance:   instance,
		DataCentre: dataCentre,
	}
}

// ForPart returns a copy for one part: its log lines start with the part's name,
// and its metric names have it as their prefix.
func (common Common) ForPart(part string) Common {
	common.Log = common.Log.WithField(PartField, part)
	common.Metrics = common.Metrics.SubScope(part)

	return common
}

// NewDiscardCommon returns a Common that logs nothing and records no metrics, for tests.
func NewDiscardCommon(instance string) Common {
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)

	return NewCommon(instance, "", logger, tally.NoopScope)
}
