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

// entry is one start of an entry's process. It is a store of its own, so that
// its calls end with it and can be paused.
type entry struct {
	keeper.Store

	fleet   *fleet
	name    string
	calls   *dispatcher.Dispatcher
	claimer *claimer.Claimer

	mutex       sync.Mutex
	dead        bool
	pause       time.Duration
	connections []net.Conn
}

func newEntry(fleet *fleet, name string) *entry {
	entry := &entry{fleet: fleet, name: name, Store: fleet.store}
	common := kernel.Discard(name)
	routes := router.NewRouter(common, router.WithSeed(1))
	routes.Update(fleet.replicas)
	entry.calls = dispatcher.NewDispatcher(common, routes, dialer.NewDialer(dialer.WithDialContext(entry.dial)))
	entry.claimer = claimer.NewClaimer(common, keeper.NewClient(common, entry, keeper.DefaultSettings()), entry.calls)

	return entry
}

var errDead = errors.New("the process is gone")

func (entry *entry) isDead() bool {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()

	return entry.dead
}

// kill ends the process: what it wrote may still arrive.
func (entry *entry) kill() {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()

	entry.dead = true

	for _, connection := range entry.connections {
		connection.Close()
	}
}

// pauseOnce makes the process stop for that long right after its next write
// to the key-value service took effect.
func (entry *entry) pauseOnce(length time.Duration) {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()

	entry.pause = length
}

func (entry *entry) dial(ctx context.Context, network, address string) (net.Conn, error) {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()

	if entry.dead {
		return nil, errDead
	}

	conn, err := entry.fleet.sidecars[address].dial(ctx, network, address)
	if err == nil {
		entry.connections = append(entry.connections, conn)
	}

	return conn, err
}

// Get implements keeper.Store.
func (entry *entry) Get(ctx context.Context, key string) (keeper.Entry, error) {
	if entry.isDead() {
		return keeper.Entry{}, errDead
	}

	return entry.Store.Get(ctx, key)
}

// CompareAndSwap implements keeper.Store.
func (entry *entry) CompareAndSwap(ctx context.Context, key string, revision keeper.Revision, value []byte) (keeper.Entry, keeper.WriteOutcome, error) {
	if entry.isDead() {
		return keeper.Entry{}, keeper.WriteUnknown, errDead
	}

	present, applied, err := entry.Store.CompareAndSwap(ctx, key, revision, value)

	entry.mutex.Lock()
	pause := entry.pause
	entry.pause = 0
	entry.mutex.Unlock()

	time.Sleep(pause)

	return present, applied, err
}

// send sends a request as a caller and records what became of it.
func (entry *entry) send(request request) checker.Event {
	history := entry.fleet.history
	call := request.call()
	history.Add(checker.Event{
		Kind: checker.KindSent, Request: call.ID, Operation: request.key,
		Idempotent: request.idempotent, Wanted: request.wanted(),
	})

	sink := &sink{entry: entry}
	outcome := entry.run(request, call, sink)
	end := checker.Event{Kind: checker.KindRefused, Request: call.ID, Fate: outcome.Fate}

	switch {
	case entry.isDead():
		end.Kind, end.Process = checker.KindCut, entry.name
	case outcome.Fate == classifier.Answered:
		end.Kind, end.Text = checker.KindAnswered, sink.text.String()
	}

	history.Add(end)

	return end
}

func (entry *entry) run(request request, call dispatcher.Call, sink *sink) classifier.Outcome {
	if request.key == "" {
		return entry.calls.Do(entry.fleet.context, call, sink)
	}

	return entry.claimer.Do(entry.fleet.context, call, request.key, sink).Outcome
}

// sink is a caller that reads an answer. It is cut off with its entry.
type sink struct {
	entry *entry
	text  strings.Builder
}

var _ dispatcher.Sink = (*sink)(nil)

func (sink *sink) Begin(string) error { return sink.write("") }

func (sink *sink) Event(event []byte) error { return sink.write(string(event)) }

func (sink *sink) End(dispatcher.End) error { return sink.write("") }

func (sink *sink) write(text string) error {
	if sink.entry.isDead() {
		return errDead
	}

	sink.text.WriteString(text)

	return nil
}
