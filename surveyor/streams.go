package surveyor

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"limpetrail/admitter"
	"limpetrail/dialer"
	"limpetrail/dispatcher"
	"limpetrail/driver"
	"limpetrail/executor"
	"limpetrail/kernel"
	"limpetrail/router"
)

const (
	// tokenInterval is the time between two tokens of a stream at the target load.
	tokenInterval = 37 * time.Millisecond
	// tokensPerStream is the mean at the target load: 750,000 tokens per second
	// divided by 1,700 requests per second.
	tokensPerStream = 441
	// streamMeasurementTime is how long the open streams are measured.
	streamMeasurementTime = time.Second
	streamBodyBytes       = 2000
)

// StreamSurveys returns the surveys of open streams. Entry and sidecar run in this
// process and are measured together.
func StreamSurveys() []Survey {
	return []Survey{
		{Name: "open streams, entry and sidecar", Unit: "stream", Sizes: []int{50, 100, 200, 400}, Measure: measureOpenStreams},
	}
}

// pacedEngine generates one token per tokenInterval for each stream.
type pacedEngine struct {
	driver.Engine
}

type pacedStream struct {
	context context.Context //nolint:containedctx // Generation ends when the caller's request is cancelled.
	index   int
}

// Generate implements driver.Engine.
func (engine *pacedEngine) Generate(ctx context.Context, _ driver.Generation) (driver.Stream, error) {
	return &pacedStream{context: ctx}, nil
}

// Cancel implements driver.Engine.
func (engine *pacedEngine) Cancel(context.Context, string) error { return nil }

// Next implements driver.Stream.
func (stream *pacedStream) Next() (driver.Token, error) {
	select {
	case <-time.After(tokenInterval):
	case <-stream.context.Done():
		return driver.Token{}, errors.Trace(stream.context.Err())
	}

	token := driver.Token{Index: stream.index, Text: "token "}
	stream.index++

	if stream.index == tokensPerStream {
		token.Finish = "length"
	}

	return token, nil
}

// Close implements driver.Stream.
func (stream *pacedStream) Close() error { return nil }

// discardingSink discards the events of a stream and signals its start.
type discardingSink struct {
	started *sync.WaitGroup
}

var _ dispatcher.Sink = discardingSink{}

// Begin implements dispatcher.Sink.
func (sink discardingSink) Begin(string) error {
	sink.started.Done()

	return nil
}

// Event implements dispatcher.Sink.
func (sink discardingSink) Event([]byte) error { return nil }

// End implements dispatcher.Sink.
func (sink discardingSink) End(dispatcher.End) error { return nil }

// measureOpenStreams keeps size streams open, each with a token per
// tokenInterval. It returns the memory used by all of them and the processor
// time used in one second.
func measureOpenStreams(size int) (Cost, error) {
	before := memoryInUse()

	ctx, stop := context.WithCancel(context.Background())
	defer stop()

	requestDispatcher, err := startSidecarAndDispatcher(ctx, size)
	if err != nil {
		return Cost{}, errors.Trace(err)
	}

	started, ended := &sync.WaitGroup{}, &sync.WaitGroup{}
	started.Add(size)

	for range size {
		ended.Go(func() {
			requestDispatcher.Do(ctx, dispatcher.Call{
				ID:         dispatcher.NewRequestID(),
				Service:    "service-1",
				Body:       make([]byte, streamBodyBytes),
				Idempotent: true,
				Deadline:   time.Now().Add(time.Minute),
			}, discardingSink{started: started})
		})
	}

	started.Wait()

	start := processorTime()

	time.Sleep(streamMeasurementTime)

	cost := Cost{ProcessorTime: processorTime() - start, Bytes: memoryInUse() - before}

	stop()
	ended.Wait()

	return cost, nil
}

// startSidecarAndDispatcher starts a sidecar with a paced engine, and returns a
// dispatcher that routes to it.
func startSidecarAndDispatcher(ctx context.Context, places int) (*dispatcher.Dispatcher, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}

	mux := drpcmux.New()
	sidecar := executor.NewExecutor(ctx, kernel.NewDiscardCommon("sidecar"), admitter.NewFixed(places), executor.WithEngine(&pacedEngine{}))

	if err := executor.NewServer(sidecar).RegisterService(mux); err != nil {
		return nil, errors.Trace(err)
	}

	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: dialer.ManagerOptions()})

	go func() {
		// The server ends when the context is cancelled, which isn't a failure.
		_ = server.Serve(ctx, dialer.NewWriteTimeoutListener(listener))
	}()

	entryKernel := kernel.NewDiscardCommon("entry")
	replicaRouter := router.NewRouter(entryKernel)
	replicaRouter.Update([]router.Replica{{Name: "sidecar", Address: listener.Addr().String(), Service: "service-1"}})

	return dispatcher.NewDispatcher(entryKernel, replicaRouter, dialer.NewDialer()), nil
}
