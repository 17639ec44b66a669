package forwarder

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"limpetrail/kernel"
	"limpetrail/meter"
)

// logShare of the calls that ended in time are logged; all others are. The
// line says how many it stands for.
const logShare = 32

// account counts how calls ended and logs them.
type account struct {
	kernel.Common

	mutex   sync.Mutex
	ends    map[endKey]endMetrics
	skipped int
}

// endKey has few values, so that the number of metrics is bounded.
type endKey struct {
	kind    string
	outcome Kind
}

type endMetrics struct {
	count tally.Counter
	first tally.Histogram
	total tally.Histogram
}

func newAccount(common kernel.Common) *account {
	return &account{Common: common, ends: map[endKey]endMetrics{}}
}

// end takes in how a call ended.
func (account *account) end(call *Call, result Result, total time.Duration) {
	metrics := account.metrics(endKey{kind: call.Route.Kind.String(), outcome: result.Kind})
	metrics.count.Inc(1)
	metrics.total.RecordDuration(total)

	if result.First > 0 {
		metrics.first.RecordDuration(result.First)
	}

	represented := account.represented(call, result)
	if represented == 0 {
		return
	}

	account.Log.WithFields(logrus.Fields{
		"RequestID": call.ID, "Route": call.Route.Name, "Kind": call.Route.Kind.String(), "Repeatable": call.Route.Repeatable(), "Service": call.Service, "Outcome": result.Kind.String(),
		"Reason": result.Reason, "Status": result.Status, "BackendServer": result.BackendServer, "Attempts": result.Attempts, "AttemptsAllowed": call.Route.Attempts,
		"Waited": result.Waited, "First": result.First, "Total": total, "Allowed": time.Until(call.Deadline) + total, "Events": result.Events,
		"RetryAfter": result.RetryAfter, "Calls": represented,
	}).Info("Request ended.")
}

// represented is how many calls a line stands for, or 0 for no line.
func (account *account) represented(call *Call, result Result) int {
	if result.Kind != Answered || result.Status >= 400 || result.Attempts > 1 || result.First > target(call.Route) {
		return 1
	}

	account.mutex.Lock()
	defer account.mutex.Unlock()

	account.skipped++
	if account.skipped < logShare {
		return 0
	}

	account.skipped = 0

	return logShare
}

func (account *account) metrics(key endKey) endMetrics {
	account.mutex.Lock()
	defer account.mutex.Unlock()

	found, known := account.ends[key]
	if !known {
		scope := account.Metrics.Tagged(map[string]string{"kind": key.kind, "outcome": key.outcome.String()})
		found = endMetrics{
			count: scope.Counter("requests"),
			first: scope.Histogram("first_bytes", meter.Latencies()),
			total: scope.Histogram("duration", meter.Latencies()),
		}
		account.ends[key] = found
	}

	return found
}
