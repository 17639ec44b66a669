package dispatcher

import (
	"context"
	"strconv"
	"sync"
	"time"

	"limpetrail/classifier"
	"limpetrail/dialer"
	"limpetrail/kernel"
	"limpetrail/messenger"
	"limpetrail/recorder"
	"limpetrail/router"
)

// Dispatcher sends requests to sidecars.
type Dispatcher struct {
	kernel.Common
	Settings Settings
	Router   *router.Router
	Dialer   *dialer.Dialer

	mutex sync.Mutex
	// incarnations holds the last known start of each sidecar by replica name.
	// A stale one is refused by the sidecar as not run, and then corrected.
	incarnations map[string]uint64
}

// Option changes a Dispatcher at construction.
type Option func(*Dispatcher)

// WithSettings sets the bounds.
func WithSettings(settings Settings) Option {
	return func(dispatcher *Dispatcher) { dispatcher.Settings = settings }
}

// NewDispatcher returns a dispatcher.
func NewDispatcher(common kernel.Common, routes *router.Router, connections *dialer.Dialer, options ...Option) *Dispatcher {
	dispatcher := &Dispatcher{
		Common:       common.ForPart("dispatcher"),
		Settings:     DefaultSettings(),
		Router:       routes,
		Dialer:       connections,
		incarnations: map[string]uint64{},
	}
	for _, option := range options {
		option(dispatcher)
	}

	return dispatcher
}

// Do takes the call to its outcome and writes the answer to the sink.
func (dispatcher *Dispatcher) Do(ctx context.Context, call Call, sink Sink) classifier.Outcome {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()

	answer := &answer{sink: sink}
	excluded := []string{}
	// A request that may have run stays so, whatever later attempts say.
	last := classifier.Refuse("no replica serves "+call.Service+" now", dispatcher.Settings.RetryAfter)
	mayHaveRun := false

	for range dispatcher.Settings.Attempts {
		replica, found := dispatcher.Router.Pick(router.Question{
			Service:    call.Service,
			PrefixKeys: call.PrefixKeys,
			Exclude:    excluded,
		})
		if !found {
			break
		}

		excluded = append(excluded, replica.Name)
		last = dispatcher.attempt(ctx, call, replica, answer)
		dispatcher.observe(replica, last)

		if last.Fate == classifier.Answered {
			return last
		}

		mayHaveRun = mayHaveRun || last.Fate == classifier.MayHaveRun
		if !dispatcher.mayMove(ctx, call, last) {
			break
		}

		dispatcher.event(recorder.KindRetried, call.ID, "After="+replica.Name, "Fate="+string(last.Fate), "Reason="+last.Reason)
	}

	if mayHaveRun {
		last.Fate = classifier.MayHaveRun
	}

	dispatcher.event(recorder.KindRefused, call.ID, "Fate="+string(last.Fate), "Reason="+last.Reason)

	return last
}

// mayMove tells whether another replica may try. What certainly did not run
// may always move; what may have run only if it is idempotent.
func (dispatcher *Dispatcher) mayMove(ctx context.Context, call Call, outcome classifier.Outcome) bool {
	return ctx.Err() == nil && (outcome.Fate == classifier.NotRun || call.Idempotent)
}

func (dispatcher *Dispatcher) observe(replica router.Replica, outcome classifier.Outcome) {
	switch outcome.Fate {
	case classifier.Answered:
		dispatcher.Router.Observe(replica.Name, router.ResultAnswered)
	case classifier.NotRun:
		dispatcher.Router.Observe(replica.Name, router.ResultRefused)
	case classifier.MayHaveRun:
		dispatcher.Router.Observe(replica.Name, router.ResultFailed)
	}
}

// incarnation returns the sidecar's present start, asking it if need be.
func (dispatcher *Dispatcher) incarnation(ctx context.Context, replica router.Replica) (uint64, error) {
	dispatcher.mutex.Lock()
	known := dispatcher.incarnations[replica.Name]
	dispatcher.mutex.Unlock()

	if known != 0 {
		return known, nil
	}

	ctx, cancel := context.WithTimeout(ctx, dispatcher.Settings.FirstFrame)
	defer cancel()

	conn, err := dispatcher.Dialer.Fresh(ctx, replica.Address)
	if err != nil {
		return 0, err
	}
	defer conn.Close()

	reply, err := messenger.NewDRPCSidecarClient(conn).Hello(ctx, &messenger.HelloRequest{Clock: dispatcher.now()})
	if err != nil {
		return 0, err
	}

	dispatcher.setIncarnation(replica, reply.GetIncarnation())
	dispatcher.report(replica, reply.GetLoad())

	return reply.GetIncarnation(), nil
}

func (dispatcher *Dispatcher) setIncarnation(replica router.Replica, incarnation uint64) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()

	dispatcher.incarnations[replica.Name] = incarnation
}

func (dispatcher *Dispatcher) report(replica router.Replica, load *messenger.LoadReport) {
	if load == nil {
		return
	}

	dispatcher.Router.Report(replica.Name, router.Load{
		RunningOnline: int(load.GetRunningOnline()),
		QueuedOnline:  int(load.GetQueuedOnline()),
		RunningBatch:  int(load.GetRunningBatch()),
		Limit:         int(load.GetLimit()),
		FirstToken:    time.Duration(load.GetFirstTokenMicros()) * time.Microsecond,
		Draining:      load.GetDraining(),
	})
}

func (dispatcher *Dispatcher) event(kind recorder.Kind, id string, details ...string) {
	dispatcher.Recorder.Record(recorder.Event{Part: "dispatcher", Kind: kind, RequestID: id, Details: details})
}

func (dispatcher *Dispatcher) now() uint64 {
	return uint64(dispatcher.Recorder.Clock.Now())
}

// answer is what was delivered of a request's answer, over all its attempts.
type answer struct {
	sink Sink
	// events is what went to the sink, to resume after it elsewhere.
	events [][]byte
	begun  bool
}

func (answer *answer) begin(id string) error {
	if answer.begun {
		return nil
	}

	answer.begun = true

	return answer.sink.Begin(id)
}

func formatUint(value uint64) string {
	return strconv.FormatUint(value, 10)
}

func recorderStamp(frame *messenger.Frame) recorder.Stamp {
	return recorder.Stamp(frame.GetClock())
}
