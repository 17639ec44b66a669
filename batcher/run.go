package batcher

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"limpetrail/bookkeeper"
	"limpetrail/exchanger"
	"limpetrail/matcher"
	"limpetrail/placer"
	"limpetrail/retrier"
)

const (
	// backoffBase is the maximum pause after the first failed attempt.
	backoffBase = 300 * time.Millisecond
	// backoffLimit is the maximum of all pauses; a few of them fit before the due time.
	backoffLimit = 4 * time.Second
)

// destination is a route and the service that was picked among those of the route.
type destination struct {
	route   *matcher.Route
	service string
}

// routeFor returns the destination of an item by a configuration, or nil if no batch route
// matches.
func routeFor(document *matcher.Document, active *activeJob, pending *task) *destination {
	path, _, _ := strings.Cut(pending.item.Target, "?")

	route := document.Match(active.job.Host, path)
	if route == nil || route.Kind != matcher.Batch {
		return nil
	}

	return &destination{route: route, service: route.PickService(rand.Float64())}
}

// attemptOutcome is how an attempt at an item, or one run of it, ended. The highest of all runs is that
// of the attempt.
type attemptOutcome int

const (
	// interrupted attempts are resumed later, after the last event received.
	interrupted attemptOutcome = iota
	// failed attempts count towards the route's limit of attempts.
	failed
	// impossible attempts show that the item can never be completed.
	impossible
	// completed attempts received the complete output.
	completed
)

// String returns the name of the outcome in logs.
func (outcome attemptOutcome) String() string {
	return [...]string{"Interrupted", "Failed", "Impossible", "Whole"}[outcome]
}

// runAttempt makes one attempt at an item and applies its outcome.
func (batcher *Batcher) runAttempt(ctx context.Context, active *activeJob, pending *task, target *destination, grant *placer.Grant) {
	attempt, cancel := context.WithCancel(ctx)
	defer cancel()

	// The attempt is cancelled when the process stops or when the job stops here.
	stop := context.AfterFunc(active.context, cancel) //nolint:contextcheck // Either context ends it.
	defer stop()

	eventsBefore, started := pending.eventCount, time.Now()
	run, block, blocked := batcher.Quarantiner.Start(batcher.quarantineRequest(pending, target), grant.Server)
	if blocked {
		grant.Release()
		batcher.holdItem(active, pending, block)

		return
	}

	execution := newExecution(batcher, active, pending)
	execution.start(attempt, target, grant, run)
	execution.play(attempt)

	batcher.runTimeEstimator.RecordAttempt(pending.eventCount-eventsBefore, time.Since(started))

	if execution.outcome == completed {
		batcher.runTimeEstimator.RecordCompletedItem(pending.eventCount)
	}

	batcher.finishAttempt(active, pending, target, execution.outcome, execution.reason)
}

// recordEnding records how a run ended and delays the next attempt, unless another run of the item goes
// on.
func (batcher *Batcher) recordEnding(active *activeJob, pending *task, ended *itemRun, outcome attemptOutcome, reason string, goesOn bool) {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	if active.context.Err() != nil {
		return
	}

	batcher.Log.WithFields(logrus.Fields{
		"JobID": active.job.ID, "RequestID": pending.item.ID, "BackendServer": ended.grant.Server.ID, "Ending": outcome.String(),
		"Reason": reason, "Events": pending.eventCount, "Gained": ended.eventCount, "Failures": pending.failures, "GoesOn": goesOn,
	}).Log(logLevel(outcome), "Attempt at an item ended.")

	switch outcome {
	case completed, impossible:
	case failed:
		pending.recordFailure()
		pending.avoid(ended.grant.Server.ID)
		pending.notBefore = time.Now().Add(backoff(pending.failures))
	default:
		// Preemption by online work is no fault of the server.
		if !isPreempted(ended.grant) {
			pending.avoid(ended.grant.Server.ID)

			if ended.eventCount == 0 && !goesOn {
				pending.interruptions++
				pending.notBefore = time.Now().Add(backoff(pending.interruptions))
			}
		}

		if ended.record.ServerEnded() {
			batcher.recordServerEnd(active, pending, ended.target, ended.grant)
		}
	}
}

// finishAttempt records the result of an item, or queues the item for its next attempt.
func (batcher *Batcher) finishAttempt(active *activeJob, pending *task, target *destination, outcome attemptOutcome, reason string) {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	active.running--
	batcher.endTrial(pending)

	if active.context.Err() != nil {
		return
	}

	switch {
	case outcome == completed:
		batcher.recordResult(active, pending, bookkeeper.Completed, reason)

		return
	case outcome == impossible:
		batcher.recordResult(active, pending, bookkeeper.GivenUp, reason)

		return
	case outcome == failed && pending.failures >= target.route.AttemptLimit:
		batcher.recordResult(active, pending, bookkeeper.GivenUp, "All attempts that the route allows failed.")

		return
	case time.Now().After(active.job.GiveUp):
		batcher.recordResult(active, pending, bookkeeper.GivenUp, "The give-up time of the job has passed.")

		return
	}

	if active.committedBefore[pending.item.ID] {
		return
	}

	active.waiting = append(active.waiting, pending)
	signal(batcher.dispatchSignal)
}

func logLevel(outcome attemptOutcome) logrus.Level {
	if outcome == completed {
		return logrus.DebugLevel
	}

	return logrus.InfoLevel
}

func isPreempted(grant *placer.Grant) bool {
	select {
	case <-grant.Preempted:
		return true
	default:
		return false
	}
}

func backoff(failures int) time.Duration {
	return retrier.Backoff{Base: backoffBase, MaxPause: backoffLimit}.Pause(failures - 1)
}

// requiresKeys tells whether the configuration in force has workspaces.
func (batcher *Batcher) requiresKeys() bool {
	document := batcher.Configuration.Document()

	return document != nil && document.RequiresKeys()
}

// headerOf returns the headers that were submitted with an item.
func headerOf(item bookkeeper.Item) http.Header {
	header := http.Header{}
	for name, value := range item.Header {
		header.Set(name, value)
	}

	return header
}

// appendEvents adds the complete events in the data to the item's output. It returns
// an error if they do not follow the last one.
func appendEvents(pending *task, events *exchanger.EventParser, data []byte) error {
	if err := events.Write(data); err != nil {
		return errors.Trace(err)
	}

	for {
		event, found := events.Next()
		if !found {
			return nil
		}

		if event.ID < 0 || pending.lastEvent >= 0 && event.ID != pending.lastEvent+1 {
			return errors.Errorf("event %d follows event %d; expected the next number", event.ID, pending.lastEvent)
		}

		pending.addEvent(event.ID, event.Data)
	}
}

// recordResult records the result of an item, to be committed later unless an earlier
// owner has committed one. The mutex must be held.
func (batcher *Batcher) recordResult(active *activeJob, pending *task, state bookkeeper.State, reason string) {
	result := bookkeeper.Result{ID: pending.item.ID, State: state}

	if state == bookkeeper.Completed {
		result.Output = pending.output.String()
	} else {
		batcher.Log.WithFields(logrus.Fields{"JobID": active.job.ID, "RequestID": pending.item.ID, "Reason": reason}).Warn("Item is given up.")
	}

	active.removeTask(pending)

	if active.committedBefore[pending.item.ID] {
		return
	}

	active.uncommitted = append(active.uncommitted, result)

	signal(batcher.commitSignal)
}
