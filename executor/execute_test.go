package executor

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"limpetrail/admitter"
	"limpetrail/classifier"
	"limpetrail/driver"
	"limpetrail/emulator"
	"limpetrail/kernel"
	"limpetrail/messenger"
)

const generationBody = `{"max_tokens":40,"prompt":"Pollen in Moshi?"}`

func generationRequest(executor *Executor, idempotent bool) *messenger.ExecuteRequest {
	return &messenger.ExecuteRequest{
		RequestId:       "request-1",
		Incarnation:     executor.Epoch(),
		Body:            []byte(generationBody),
		Idempotent:      idempotent,
		RemainingMicros: uint64(time.Minute.Microseconds()),
	}
}

func answerText(run *Run) string {
	text := strings.Builder{}
	for _, event := range run.Events() {
		text.Write(event)
	}

	return text.String()
}

func expectedText(count int) string {
	text := strings.Builder{}
	for index := range count {
		text.WriteString(emulator.TokenText(emulator.AnswerSeed([]byte(generationBody)), index))
	}

	return text.String()
}

// httpBackend serves a handler on an in-memory network.
func httpBackend(t *testing.T, handler http.Handler) (*emulator.Network, func(*http.Client)) {
	t.Helper()

	network := emulator.NewNetwork()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}

	listener := network.Listen("backend:1")

	go func() { _ = server.Serve(listener) }()

	t.Cleanup(func() {
		network.Close()
		server.Close()
		time.Sleep(time.Minute)
	})

	return network, func(client *http.Client) {
		client.Transport.(*http.Transport).DialContext = network.DialContext
	}
}

func TestEngineStreamResumesAfterSilentConnection(t *testing.T) {
	tests := []struct {
		name string
		// silenceUp and silenceDown drop the data towards and from the engine.
		silenceUp, silenceDown bool
		idempotent             bool
		fate                   messenger.Fate
		wantStarts             int
		maxDuration            time.Duration
	}{
		{"both directions", true, true, true, messenger.Fate_FATE_ANSWERED, 2, 10 * time.Second},
		{"towards the sidecar", false, true, true, messenger.Fate_FATE_ANSWERED, 2, 10 * time.Second},
		{"towards the engine", true, false, true, messenger.Fate_FATE_ANSWERED, 1, time.Second},
		{"not idempotent", true, true, false, messenger.Fate_FATE_MAY_HAVE_RUN, 1, 10 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				t.Cleanup(cancel)

				backend := emulator.NewEngine(emulator.WithSteps(emulator.StepModel{Base: 10 * time.Millisecond}))
				go backend.Run(ctx)

				network, connect := httpBackend(t, emulator.NewEngineHandler(backend))
				engine := driver.NewHTTPEngine("backend:1")
				connect(engine.Client)

				executor := NewExecutor(ctx, kernel.NewDiscardCommon("sidecar-1"), admitter.NewFixed(1), WithEngine(engine))
				started := time.Now()
				run, err := executor.Submit(generationRequest(executor, test.idempotent))
				require.NoError(t, err)

				time.Sleep(205 * time.Millisecond)
				network.DropTraffic(test.silenceUp, test.silenceDown)
				executor.Wait()

				fate, _ := run.Fate()
				require.Equal(t, test.fate, fate)
				require.Less(t, time.Since(started), test.maxDuration)
				require.Equal(t, test.wantStarts, backend.StartCount("request-1"))

				if test.fate == messenger.Fate_FATE_ANSWERED {
					require.Equal(t, expectedText(40), answerText(run))
				}
			})
		})
	}
}

func TestIdempotentServiceCallIsRetriedAfterSilentConnection(t *testing.T) {
	tests := []struct {
		name       string
		idempotent bool
		fate       messenger.Fate
		wantCalls  int
	}{
		{"idempotent", true, messenger.Fate_FATE_ANSWERED, 2},
		{"not idempotent", false, messenger.Fate_FATE_MAY_HAVE_RUN, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backend := emulator.NewService()
				backend.Faults.Set(emulator.FaultSwitches{Delay: 100 * time.Millisecond})

				network, connect := httpBackend(t, backend)
				service := driver.NewHTTPService("backend:1")
				connect(service.Client)

				executor := newTestExecutor(t, DefaultSettings(), service)
				request := serviceRequest("order-1", executor.Epoch())
				request.Idempotent = test.idempotent
				request.RemainingMicros = uint64(time.Minute.Microseconds())

				run, err := executor.Submit(request)
				require.NoError(t, err)
				time.Sleep(50 * time.Millisecond)
				network.DropTraffic(false, true)
				executor.Wait()

				fate, _ := run.Fate()
				require.Equal(t, test.fate, fate)
				require.Equal(t, test.wantCalls, backend.CallCounts()["order-1"])
			})
		})
	}
}

// scriptedEngine yields the tokens of one of its streams per call, then the error.
type scriptedEngine struct {
	driver.Engine

	streams [][]driver.Token
	failure error
	starts  int
}

func (engine *scriptedEngine) Generate(context.Context, driver.Generation) (driver.Stream, error) {
	stream := &scriptedStream{tokens: engine.streams[min(engine.starts, len(engine.streams)-1)], failure: engine.failure}
	engine.starts++

	return stream, nil
}

func (engine *scriptedEngine) Cancel(ctx context.Context, _ string) error {
	<-ctx.Done()

	return errors.Trace(ctx.Err())
}

type scriptedStream struct {
	tokens  []driver.Token
	failure error
}

func (stream *scriptedStream) Next() (driver.Token, error) {
	if len(stream.tokens) == 0 {
		return driver.Token{}, stream.failure
	}

	token := stream.tokens[0]
	stream.tokens = stream.tokens[1:]

	return token, nil
}

func (*scriptedStream) Close() error { return nil }

func TestAnswerIsCompleteDespiteFaultyEngineStreams(t *testing.T) {
	tests := []struct {
		name    string
		streams [][]driver.Token
		failure error
		fate    messenger.Fate
		text    string
	}{
		{
			name:    "stream ends without a last token",
			streams: [][]driver.Token{{{Index: 0, Text: "a"}}, {{Index: 1, Text: "b", Finish: "stop"}}},
			failure: io.EOF, fate: messenger.Fate_FATE_ANSWERED, text: "ab",
		},
		{
			name:    "no stream has a last token",
			streams: [][]driver.Token{{}},
			failure: io.EOF, fate: messenger.Fate_FATE_MAY_HAVE_RUN,
		},
		{
			name:    "token sent twice",
			streams: [][]driver.Token{{{Index: 0, Text: "a"}, {Index: 0, Text: "a"}, {Index: 1, Text: "b", Finish: "stop"}}},
			failure: io.EOF, fate: messenger.Fate_FATE_ANSWERED, text: "ab",
		},
		{
			name: "token skipped",
			streams: [][]driver.Token{
				{{Index: 0, Text: "a"}, {Index: 2, Text: "c", Finish: "stop"}},
				{{Index: 1, Text: "b"}, {Index: 2, Text: "c", Finish: "stop"}},
			},
			failure: io.EOF, fate: messenger.Fate_FATE_ANSWERED, text: "abc",
		},
		{
			name:    "answer too long",
			streams: [][]driver.Token{{{Index: 0, Text: strings.Repeat("a", 200)}, {Index: 1, Text: "b", Finish: "stop"}}},
			failure: io.EOF, fate: messenger.Fate_FATE_MAY_HAVE_RUN, text: strings.Repeat("a", 200),
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				settings := DefaultSettings()
				settings.AnswerBytes = 100
				engine := &scriptedEngine{streams: test.streams, failure: test.failure}
				executor := NewExecutor(t.Context(), kernel.NewDiscardCommon("sidecar-1"), admitter.NewFixed(1), WithSettings(settings), WithEngine(engine))
				run, err := executor.Submit(generationRequest(executor, true))
				require.NoError(t, err)
				executor.Wait()

				fate, _ := run.Fate()
				require.Equal(t, test.fate, fate)
				require.Equal(t, test.text, answerText(run))
			})
		})
	}
}

// preemptingAdmitter preempts every place at once.
type preemptingAdmitter struct {
	admitter.Admitter

	acquired int
}

func (admission *preemptingAdmitter) Acquire(context.Context, admitter.PlaceRequest) (admitter.Place, classifier.Outcome) {
	admission.acquired++

	return &preemptedPlace{}, classifier.Outcome{}
}

type preemptedPlace struct{}

func (*preemptedPlace) Preempted() <-chan struct{} {
	preempted := make(chan struct{})
	close(preempted)

	return preempted
}

func (*preemptedPlace) RecordToken() {}

func (*preemptedPlace) Release() {}

func TestNonIdempotentRequestIsNotPreempted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)

		engine := emulator.NewEngine()
		go engine.Run(ctx)

		admission := &preemptingAdmitter{}
		executor := NewExecutor(ctx, kernel.NewDiscardCommon("sidecar-1"), admission, WithEngine(engine))
		request := generationRequest(executor, false)
		request.Class = messenger.Class_CLASS_BATCH

		run, err := executor.Submit(request)
		require.NoError(t, err)
		executor.Wait()

		fate, _ := run.Fate()
		require.Equal(t, messenger.Fate_FATE_ANSWERED, fate)
		require.Equal(t, 1, admission.acquired)
		require.Equal(t, 1, engine.StartCount("request-1"))
	})
}
