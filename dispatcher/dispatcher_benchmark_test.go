package dispatcher_test

import (
	"context"
	"io"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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

// steppedEngine yields a token only when the sink asks for the next one, so that
// one token at a time is in transit.
type steppedEngine struct {
	driver.Engine

	tokenCount int
	next       chan struct{}
}

func (engine *steppedEngine) Generate(context.Context, driver.Generation) (driver.Stream, error) {
	return &steppedStream{engine: engine}, nil
}

type steppedStream struct {
	engine *steppedEngine
	index  int
}

// Next implements driver.Stream.
func (stream *steppedStream) Next() (driver.Token, error) {
	if stream.index == stream.engine.tokenCount {
		return driver.Token{}, io.EOF
	}

	<-stream.engine.next

	token := driver.Token{Index: stream.index, Text: "token "}
	stream.index++

	if stream.index == stream.engine.tokenCount {
		token.Finish = "stop"
	}

	return token, nil
}

// Close implements driver.Stream.
func (*steppedStream) Close() error { return nil }

// steppingSink asks the engine for the next token at each event.
type steppingSink struct {
	next chan struct{}
}

func (sink *steppingSink) Begin(string) error { return nil }

func (sink *steppingSink) Event([]byte) error {
	sink.next <- struct{}{}

	return nil
}

func (sink *steppingSink) End(dispatcher.End) error { return nil }

// BenchmarkPath compares a request straight to the engine with one through
// dispatcher and sidecar over loopback, with 1 and with 200 tokens. The cost of a
// token is the difference between 200 tokens and 1, divided by 199.
func BenchmarkPath(b *testing.B) {
	for _, tokens := range []int{1, 200} {
		engine := &steppedEngine{tokenCount: tokens, next: make(chan struct{}, tokens+1)}

		b.Run("direct/tokens="+strconv.Itoa(tokens), func(b *testing.B) {
			b.ReportAllocs()

			for b.Loop() {
				engine.runDirect(b)
			}
		})

		b.Run("path/tokens="+strconv.Itoa(tokens), func(b *testing.B) {
			client := newLoopbackDispatcher(b, engine)

			b.ReportAllocs()

			for b.Loop() {
				engine.runThroughSidecar(b, client)
			}
		})
	}
}

// runDirect reads the engine's tokens with nothing in between.
func (engine *steppedEngine) runDirect(b *testing.B) {
	b.Helper()

	sink := &steppingSink{next: engine.next}
	engine.next <- struct{}{}

	stream, err := engine.Generate(b.Context(), driver.Generation{})
	require.NoError(b, err)

	for {
		// require.NoError would cost more than what is measured.
		token, err := stream.Next()
		if err != nil {
			b.Fatal(err)
		}

		if err := sink.Event([]byte(token.Text)); err != nil {
			b.Fatal(err)
		}

		if token.Finish != "" {
			break
		}
	}

	<-engine.next
}

// runThroughSidecar sends one request through dispatcher and sidecar.
func (engine *steppedEngine) runThroughSidecar(b *testing.B, client *dispatcher.Dispatcher) {
	b.Helper()

	engine.next <- struct{}{}

	outcome := client.Do(b.Context(), dispatcher.Call{
		ID:         dispatcher.NewRequestID(),
		Firm:       "kilimanjaro",
		Service:    modelService,
		Body:       []byte(requestBody),
		Idempotent: true,
		Deadline:   time.Now().Add(time.Minute),
	}, &steppingSink{next: engine.next})
	require.Empty(b, outcome.Reason)

	<-engine.next
}

// newLoopbackDispatcher starts a sidecar for the engine on a loopback address and
// returns a dispatcher that routes to it.
func newLoopbackDispatcher(b *testing.B, engine driver.Engine) *dispatcher.Dispatcher {
	b.Helper()

	listener, err := (&net.ListenConfig{}).Listen(b.Context(), "tcp", "127.0.0.1:0")
	require.NoError(b, err)

	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)

	mux := drpcmux.New()
	sidecar := executor.NewExecutor(ctx, kernel.NewDiscardCommon("sidecar-1"), admitter.NewFixed(16), executor.WithEngine(engine))
	require.NoError(b, executor.NewServer(sidecar).RegisterService(mux))

	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: dialer.ManagerOptions()})
	go func() { _ = server.Serve(ctx, dialer.NewWriteTimeoutListener(listener)) }()

	common := kernel.NewDiscardCommon("entry-1")
	routes := router.NewRouter(common)
	routes.Update([]router.Replica{{Name: "replica-1", Address: listener.Addr().String(), Service: modelService}})

	connections := dialer.NewDialer()
	b.Cleanup(func() { connections.Close() })

	return dispatcher.NewDispatcher(common, routes, connections)
}
