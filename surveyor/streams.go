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
	// streamPace is the target's time between two tokens of a stream.
	streamPace = 37 * time.Millisecond
	// streamTokens is 750,000 tokens a second over 1,700 requests a second.
	streamTokens = 441
	// streamsWindow is how long running streams are measured.
	streamsWindow = time.Second
	streamBody    = 2000
)

// Streams returns the surveys of open streams, entry and sidecar together.
func Streams() []Survey {
	return []Survey{
		{Name: "open streams, entry and sidecar", Per: "stream", Sizes: []int{50, 100, 200, 400}, Measure: openStreams},
	}
}

// pacedEngine yields a token to each stream at the target's pace.
type pacedEngine struct {
	driver.Engine
}

type pacedStream struct {
	context context.Context //nolint:containedctx // The stream ends with its caller.
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
	case <-time.After(streamPace):
	case <-stream.context.Done():
		return driver.Token{}, errors.Trace(stream.context.Err())
	}

	token := driver.Token{Index: stream.index, Text: "token "}
	stream.index++

	if stream.index == streamTokens {
		token.Finish = "length"
	}

	return token, nil
}

// Close implements driver.Stream.
func (stream *pacedStream) Close() error { return nil }

// countingSink counts the events of all streams.
type countingSink struct {
	begun *sync.WaitGroup
}

var _ dispatcher.Sink = countingSink{}

// Begin implements dispatcher.Sink.
func (sink countingSink) Begin(string) error {
	sink.begun.Done()

	return nil
}

// Event implements dispatcher.Sink.
func (sink countingSink) Event([]byte) error { return nil }

// End implements dispatcher.Sink.
func (sink countingSink) End(dispatcher.End) error { return nil }

// openStreams keeps that many streams open at the target's pace, and returns
// the memory of them all and the processor time of one second.
func openStreams(size int) (Cost, error) {
	before := memory()

	ctx, stop := context.WithCancel(context.Background())
	defer stop()

	calls, err := newPath(ctx, size)
	if err != nil {
		return Cost{}, errors.Trace(err)
	}

	begun, ended := &sync.WaitGroup{}, &sync.WaitGroup{}
	begun.Add(size)

	for range size {
		ended.Go(func() {
			calls.Do(ctx, dispatcher.Call{
				ID:         dispatcher.NewRequestID(),
				Service:    "service-1",
				Body:       make([]byte, streamBody),
				Idempotent: true,
				Deadline:   time.Now().Add(time.Minute),
			}, countingSink{begun: begun})
		})
	}

	begun.Wait()

	start := processorTime()

	time.Sleep(streamsWindow)

	cost := Cost{Processor: processorTime() - start, Bytes: memory() - before}

	stop()
	ended.Wait()

	return cost, nil
}

// newPath starts a sidecar beside a paced engine and returns a dispatcher.
func newPath(ctx context.Context, places int) (*dispatcher.Dispatcher, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}

	mux := drpcmux.New()
	sidecar := executor.NewExecutor(ctx, kernel.Discard("sidecar"), admitter.NewFixed(places), executor.WithEngine(&pacedEngine{}))

	if err := executor.NewServer(sidecar).RegisterService(mux); err != nil {
		return nil, errors.Trace(err)
	}

	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: dialer.ManagerOptions()})

	go func() {
		// The server ends with the context, which is no error here.
		_ = server.Serve(ctx, dialer.NewBoundedListener(listener))
	}()

	common := kernel.Discard("entry")
	routes := router.NewRouter(common)
	routes.Update([]router.Replica{{Name: "sidecar", Address: listener.Addr().String(), Service: "service-1"}})

	return dispatcher.NewDispatcher(common, routes, dialer.NewDialer()), nil
}
