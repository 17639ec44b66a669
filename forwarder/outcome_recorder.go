package forwarder

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"limpetrail/kernel"
	"limpetrail/meter"
)

// callsPerLogLine samples the log: one in so many calls that were answered within
// the latency target is logged, with the number of calls that the line represents.
// Every other call is logged.
const callsPerLogLine = 32

// outcomeRecorder records how calls ended in metrics and in the log.
type outcomeRecorder struct {
	kernel.Common

	mutex            sync.Mutex
	metricsByOutcome map[outcomeKey]outcomeMetrics
	unlogged         int
}

// outcomeKey is the set of tags of a metric. It has few values, which bounds the
// number of metrics.
type outcomeKey struct {
	kind    string
	outcome Outcome
}

type outcomeMetrics struct {
	count           tally.Counter
	timeToFirstByte tally.Histogram
	total           tally.Histogram
}

func newOutcomeRecorder(common kernel.Common) *outcomeRecorder {
	return &outcomeRecorder{Common: common, metricsByOutcome: map[outcomeKey]outcomeMetrics{}}
}

// record counts a call that has ended and logs it, subject to sampling.
func (recorder *outcomeRecorder) record(call *Call, result Result, total time.Duration) {
	metrics := recorder.metrics(outcomeKey{kind: call.Route.Kind.String(), outcome: result.Outcome})
	metrics.count.Inc(1)
	metrics.total.RecordDuration(total)

	if result.TimeToFirstByte > 0 {
		metrics.timeToFirstByte.RecordDuration(result.TimeToFirstByte)
	}

	calls := recorder.representedCalls(call, result)
	if calls == 0 {
		return
	}

	recorder.Log.WithFields(logrus.Fields{
		"RequestID": call.ID, "Route": call.Route.Name, "Workspace": call.Workspace, "Kind": call.Route.Kind.String(), "Repeatable": call.Route.Repeatable(), "Service": call.Service, "Outcome": result.Outcome.String(),
		"Reason": result.Reason, "Status": result.Status, "BackendServer": result.BackendServer, "Attempts": result.Attempts, "AttemptsAllowed": call.Route.AttemptLimit,
		"Waited": result.QueueTime, "First": result.TimeToFirstByte, "Total": total, "Allowed": time.Until(call.Deadline) + total, "Events": result.Events,
		"RetryAfter": result.RetryAfter, "Calls": calls,
	}).Info("Request ended.")
}

// representedCalls returns how many calls the log line of this call represents, or
// 0 if the call is not logged.
func (recorder *outcomeRecorder) representedCalls(call *Call, result Result) int {
	if result.Outcome != Answered || result.Status >= 400 || result.Attempts > 1 || result.TimeToFirstByte > latencyTarget(call.Route) {
		return 1
	}

	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()

	recorder.unlogged++
	if recorder.unlogged < callsPerLogLine {
		return 0
	}

	recorder.unlogged = 0

	return callsPerLogLine
}

func (recorder *outcomeRecorder) metrics(key outcomeKey) outcomeMetrics {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()

	metricSet, exists := recorder.metricsByOutcome[key]
	if !exists {
		scope := recorder.Metrics.Tagged(map[string]string{"kind": key.kind, "outcome": key.outcome.String()})
		metricSet = outcomeMetrics{
			count:           scope.Counter("requests"),
			timeToFirstByte: scope.Histogram("first_bytes", meter.LatencyBuckets()),
			total:           scope.Histogram("duration", meter.LatencyBuckets()),
		}
		recorder.metricsByOutcome[key] = metricSet
	}

	return metricSet
}
