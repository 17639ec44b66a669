package checker_test

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"limpetrail/checker"
	"limpetrail/claimer"
	"limpetrail/classifier"
	"limpetrail/dialer"
	"limpetrail/dispatcher"
	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/router"
)

// entry is one process of an entry. It implements keeper.Store, so that its
// calls to the key-value service fail once it is killed and can be paused.
type entry struct {
	keeper.Store

	fleet             *fleet
	name              string
	requestDispatcher *dispatcher.Dispatcher
	claimer           *claimer.Claimer

	mutex  sync.Mutex
	killed bool
	// pause is the duration of the pause after the next write.
	pause       time.Duration
	connections []net.Conn
}

func newEntry(fleet *fleet, name string) *entry {
	entry := &entry{fleet: fleet, name: name, Store: fleet.store}
	common := kernel.NewDiscardCommon(name)
	routes := router.NewRouter(common, router.WithSeed(1))
	routes.Update(fleet.replicas)
	entry.requestDispatcher = dispatcher.NewDispatcher(common, routes, dialer.NewDialer(dialer.WithDialContext(entry.dial)))
	entry.claimer = claimer.NewClaimer(common, keeper.NewClient(common, entry, keeper.DefaultSettings()), entry.requestDispatcher)

	return entry
}

var errProcessKilled = errors.New("the process was killed")

func (entry *entry) isKilled() bool {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()

	return entry.killed
}

// kill ends the process. Data that it has sent may still arrive.
func (entry *entry) kill() {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()

	entry.killed = true

	for _, connection := range entry.connections {
		connection.Close()
	}
}

// pauseAfterNextWrite pauses the process right after the key-value service has
// applied its next write.
func (entry *entry) pauseAfterNextWrite(duration time.Duration) {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()

	entry.pause = duration
}

func (entry *entry) dial(ctx context.Context, network, address string) (net.Conn, error) {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()

	if entry.killed {
		return nil, errProcessKilled
	}

	conn, err := entry.fleet.sidecars[address].dial(ctx, network, address)
	if err == nil {
		entry.connections = append(entry.connections, conn)
	}

	return conn, err
}

// Get implements keeper.Store.
func (entry *entry) Get(ctx context.Context, key string) (keeper.Entry, error) {
	if entry.isKilled() {
		return keeper.Entry{}, errProcessKilled
	}

	return entry.Store.Get(ctx, key)
}

// CompareAndSwap implements keeper.Store.
func (entry *entry) CompareAndSwap(ctx context.Context, key string, revision keeper.Revision, value []byte) (keeper.Entry, keeper.WriteOutcome, error) {
	if entry.isKilled() {
		return keeper.Entry{}, keeper.WriteUnknown, errProcessKilled
	}

	present, applied, err := entry.Store.CompareAndSwap(ctx, key, revision, value)

	entry.mutex.Lock()
	pause := entry.pause
	entry.pause = 0
	entry.mutex.Unlock()

	time.Sleep(pause)

	return present, applied, err
}

// send sends a request as a caller does, and records its end.
func (entry *entry) send(request request) checker.Event {
	history := entry.fleet.history
	call := request.newCall()
	history.Add(checker.Event{
		Kind: checker.KindSent, Request: call.ID, Operation: request.key,
		Idempotent: request.idempotent, ExpectedAnswer: request.expectedAnswer(),
	})

	sink := &sink{entry: entry}
	outcome := entry.dispatch(request, call, sink)
	end := checker.Event{Kind: checker.KindRefused, Request: call.ID, Fate: outcome.Fate}

	switch {
	case entry.isKilled():
		end.Kind, end.Process = checker.KindConnectionLost, entry.name
	case outcome.Fate == classifier.Answered:
		end.Kind, end.Text = checker.KindAnswered, sink.text.String()
	}

	history.Add(end)

	return end
}

func (entry *entry) dispatch(request request, call dispatcher.Call, sink *sink) classifier.Outcome {
	if request.key == "" {
		return entry.requestDispatcher.Do(entry.fleet.context, call, sink)
	}

	return entry.claimer.Do(entry.fleet.context, call, request.key, sink).Outcome
}

// sink collects the answer for a caller. Writes to it fail once its entry is
// killed.
type sink struct {
	entry *entry
	text  strings.Builder
}

var _ dispatcher.Sink = (*sink)(nil)

func (sink *sink) Begin(string) error { return sink.write("") }

func (sink *sink) Event(event []byte) error { return sink.write(string(event)) }

func (sink *sink) End(dispatcher.End) error { return sink.write("") }

func (sink *sink) write(text string) error {
	if sink.entry.isKilled() {
		return errProcessKilled
	}

	sink.text.WriteString(text)

	return nil
}
