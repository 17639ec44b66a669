package batcher

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"limpetrail/bookkeeper"
	"limpetrail/exchanger"
	"limpetrail/forwarder"
	"limpetrail/matcher"
	"limpetrail/placer"
	"limpetrail/retrier"
)

const (
	// firstWait is how long an item waits for its first event; an engine that
	// is full with online work takes about a second to free a place.
	firstWait = 2 * time.Second
	// itemSilence between two events is taken for a fault of the server.
	itemSilence = time.Second
	// itemPart is what an event that has begun to arrive may take longer.
	itemPart = time.Second
	// failurePause is the longest first pause after a failed attempt.
	failurePause = 300 * time.Millisecond
	// longestPause is the longest of all; a few of them fit before the due time.
	longestPause = 4 * time.Second
	// chunk is read from a stream at once.
	chunk = 4 << 10
)

// destination is a route and the one of its services that was picked.
type destination struct {
	route   *matcher.Route
	service string
}

// routeOf returns where the configuration in force sends an item, or nil.
func (batcher *Batcher) routeOf(owned *work, item *task) *destination {
	document := batcher.Configuration.Document()
	if document == nil {
		return nil
	}

	path, _, _ := strings.Cut(item.item.Target, "?")

	route := document.Match(owned.job.Host, path)
	if route == nil || route.Kind != matcher.Batch {
		return nil
	}

	return &destination{route: route, service: route.Pick(rand.Float64())}
}

// ending is how an attempt at an item ended.
type ending int

const (
	// whole output was received.
	whole ending = iota
	// interrupted attempts go on later after the last event.
	interrupted
	// failed attempts count against the route's attempts.
	failed
	// impossible items can never be done.
	impossible
)

// String names the ending in logs.
func (ending ending) String() string {
	return [...]string{"Whole", "Interrupted", "Failed", "Impossible"}[ending]
}

// run makes one attempt at an item and decides what follows.
func (batcher *Batcher) run(ctx context.Context, owned *work, item *task, to *destination, grant *placer.Grant) {
	attempt, cancel := context.WithCancel(ctx)
	defer cancel()

	// The attempt ends with the process, with the ownership or when it yields.
	stop := context.AfterFunc(owned.context, cancel) //nolint:contextcheck // Either context ends it.
	defer stop()

	go func() {
		select {
		case <-grant.Yield:
			cancel()
		case <-attempt.Done():
		}
	}()

	grant.SetProgress(item.events)

	before, begun := item.events, time.Now()
	ended, reason := batcher.attempt(attempt, owned, item, to, grant)

	grant.Release()
	batcher.pace.Run(item.events-before, time.Since(begun))

	if ended == whole {
		batcher.pace.Whole(item.events)
	}

	batcher.settle(owned, item, to, ended, reason, grant, item.events-before)
}

// settle decides after an attempt.
func (batcher *Batcher) settle(owned *work, item *task, to *destination, ended ending, reason string, grant *placer.Grant, gained int) {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	owned.running--

	if owned.context.Err() != nil {
		return
	}

	batcher.Log.WithFields(logrus.Fields{
		"JobID": owned.job.ID, "RequestID": item.item.ID, "BackendServer": grant.Server.ID, "Ending": ended.String(),
		"Reason": reason, "Events": item.events, "Gained": gained, "Failures": item.failures,
	}).Log(levelOf(ended), "Attempt at an item ended.")

	switch ended {
	case whole:
		batcher.finish(owned, item, bookkeeper.Completed, reason)

		return
	case impossible:
		batcher.finish(owned, item, bookkeeper.GivenUp, reason)

		return
	case failed:
		item.fail()
		item.avoid = grant.Server.ID
		item.notBefore = time.Now().Add(backoff(item.failures))

		if item.failures >= to.route.Attempts {
			batcher.finish(owned, item, bookkeeper.GivenUp, "It failed too often.")

			return
		}
	default:
		// A yielded attempt is no fault of the server.
		if !yielded(grant) {
			item.avoid = grant.Server.ID
			if gained == 0 {
				item.bounces++
				item.notBefore = time.Now().Add(backoff(item.bounces))
			}
		}
	}

	if time.Now().After(owned.job.GiveUp) {
		batcher.finish(owned, item, bookkeeper.GivenUp, "It may be given up by now.")

		return
	}

	if owned.listed[item.item.ID] {
		return
	}

	owned.waiting = append(owned.waiting, item)
	poke(batcher.wake)
}

func levelOf(ended ending) logrus.Level {
	if ended == whole {
		return logrus.DebugLevel
	}

	return logrus.InfoLevel
}

func yielded(grant *placer.Grant) bool {
	select {
	case <-grant.Yield:
		return true
	default:
		return false
	}
}

func backoff(tries int) time.Duration {
	return retrier.Backoff{Base: failurePause, Limit: longestPause}.Pause(tries - 1)
}

// attempt sends an item to a server and reads its events.
func (batcher *Batcher) attempt(ctx context.Context, owned *work, item *task, to *destination, grant *placer.Grant) (ending, string) {
	header := http.Header{}
	for name, value := range item.item.Header {
		header.Set(name, value)
	}

	call := &forwarder.Call{
		ID: item.item.ID, Method: http.MethodPost, Target: item.item.Target, Host: owned.job.Host,
		Header: exchanger.EndToEnd(header), Body: item.item.Body, Route: to.route, Service: to.service,
		Deadline: owned.job.GiveUp, After: item.after,
	}

	begun := time.Now()

	reply, err := batcher.Backend.Send(ctx, grant.Server, call, forwarder.Attempt{
		Left: time.Until(owned.job.GiveUp), FirstBy: begun.Add(firstWait), After: item.after, Withdrawn: grant.Withdrawn, Repeatable: true,
	})
	if err != nil {
		return batcher.unanswered(ctx, grant, err)
	}

	if reply.Leaving {
		grant.Leaves(item.item.ID)
	}

	switch reply.Sense {
	case forwarder.Full:
		grant.Observe(placer.Full, 0)

		return interrupted, "The backend server is full."
	case forwarder.Misdirected:
		grant.Observe(placer.Unreachable, 0)

		return interrupted, "Another backend server has the address."
	case forwarder.Foreign:
		grant.Observe(placer.Broken, 0)

		return interrupted, "The answer belongs to another request."
	default:
	}

	defer reply.Answer.Close()

	switch reply.Answer.Status {
	case http.StatusOK:
		grant.Observe(placer.Answered, time.Since(begun))

		return batcher.read(ctx, item, grant, reply.Answer)
	case http.StatusUnprocessableEntity:
		return impossible, "The backend server says that it cannot be done."
	case http.StatusInternalServerError:
		return failed, "The backend server failed."
	default:
		return interrupted, "The backend server answered " + http.StatusText(reply.Answer.Status) + "."
	}
}

func (batcher *Batcher) unanswered(ctx context.Context, grant *placer.Grant, err error) (ending, string) {
	failure := exchanger.FailureError{}

	switch {
	case ctx.Err() != nil:
		return interrupted, "Its place was taken back."
	case errors.Is(err, exchanger.ErrWithdrawn):
	case errors.As(err, &failure) && failure.Fate == exchanger.Unsent:
		grant.Observe(placer.Unreachable, 0)
	case failure.Fate == exchanger.Unanswered:
		grant.Observe(placer.Silent, 0)
	default:
		grant.Observe(placer.Broken, 0)
	}

	return interrupted, err.Error()
}

// read takes in the events of an answer.
func (batcher *Batcher) read(ctx context.Context, item *task, grant *placer.Grant, answer *exchanger.Answer) (ending, string) {
	events := answer.Events()
	buffer := make([]byte, chunk)
	// taken is when the last whole event came. Bytes that complete none do not count.
	taken, before := time.Now(), item.events

	for {
		if silent := answer.Await(taken.Add(itemSilence)); silent != nil {
			return batcher.unanswered(ctx, grant, silent)
		}

		count, err := answer.ReadPart(buffer, taken.Add(itemSilence+itemPart))
		if wrong := take(item, events, buffer[:count]); wrong != nil {
			grant.Observe(placer.Broken, 0)

			return interrupted, wrong.Error()
		}

		grant.SetProgress(item.events)

		if item.events > before {
			taken, before = time.Now(), item.events
		}

		switch {
		case errors.Is(err, io.EOF) && events.Empty() && item.events > 0:
			grant.Observe(placer.Whole, 0)

			return whole, ""
		case errors.Is(err, io.EOF):
			grant.Observe(placer.Broken, 0)

			return interrupted, "The stream ended within an event."
		case err != nil:
			return batcher.unanswered(ctx, grant, err)
		}
	}
}

// take adds the whole events that continue the item's output.
func take(item *task, events *exchanger.Events, read []byte) error {
	if err := events.Write(read); err != nil {
		return errors.Trace(err)
	}

	for {
		event, found := events.Next()
		if !found {
			return nil
		}

		if event.ID < 0 || item.after >= 0 && event.ID != item.after+1 {
			return errors.Errorf("event %d follows %d", event.ID, item.after)
		}

		item.add(event.ID, event.Data)
	}
}

// finish notes the result of an item, with the mutex held. It is listed later.
func (batcher *Batcher) finish(owned *work, item *task, state bookkeeper.State, reason string) {
	result := bookkeeper.Result{ID: item.item.ID, State: state}

	if state == bookkeeper.Completed {
		result.Output = item.output.String()
	} else {
		batcher.Log.WithFields(logrus.Fields{"JobID": owned.job.ID, "RequestID": item.item.ID, "Reason": reason}).Warn("Item is given up.")
	}

	owned.forget(item)

	if owned.listed[item.item.ID] {
		return
	}

	owned.finished = append(owned.finished, result)

	poke(batcher.listing)
}
