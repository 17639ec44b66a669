package dispatcher_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"limpetrail/admitter"
	"limpetrail/dialer"
	"limpetrail/dispatcher"
	"limpetrail/emulator"
	"limpetrail/executor"
	"limpetrail/kernel"
	"limpetrail/messenger"
	"limpetrail/recorder"
	"limpetrail/router"
)

const (
	modelService = "briefing"
	plainService = "order"
)

// fleet is a dispatcher and its sidecars on an in-memory network, inside a synctest
// bubble.
type fleet struct {
	t          *testing.T
	network    *emulator.Network
	dispatcher *dispatcher.Dispatcher
	replicas   []router.Replica
	engines    map[string]*emulator.Engine
	services   map[string]*emulator.Service
	executors  map[string]*executor.Executor
	// allExecutors holds the executors of all sidecars, including stopped ones.
	allExecutors []*executor.Executor
	stopSidecar  map[string]func()
	// listeners are those of the sidecars.
	listeners  map[string]emulator.SilentListener
	goroutines sync.WaitGroup
	// backendContext ends the backend servers.
	backendContext context.Context //nolint:containedctx // The fleet's lifetime.
	stopBackends   func()
}

func newFleet(t *testing.T, change func(*dispatcher.Settings)) *fleet {
	t.Helper()

	settings := dispatcher.DefaultSettings()
	if change != nil {
		change(&settings)
	}

	network := emulator.NewNetwork()
	common := kernel.NewDiscardCommon("entry-1")
	fleet := &fleet{
		t:       t,
		network: network,
		dispatcher: dispatcher.NewDispatcher(common, router.NewRouter(common, router.WithSeed(1)),
			dialer.NewDialer(dialer.WithDialContext(network.DialContext)), dispatcher.WithSettings(settings)),
		engines:     map[string]*emulator.Engine{},
		services:    map[string]*emulator.Service{},
		executors:   map[string]*executor.Executor{},
		stopSidecar: map[string]func(){},
		listeners:   map[string]emulator.SilentListener{},
	}
	fleet.backendContext, fleet.stopBackends = context.WithCancel(context.Background())
	t.Cleanup(fleet.close)

	return fleet
}

// addReplica starts a backend server and its sidecar.
func (fleet *fleet) addReplica(name, service string) {
	fleet.engines[name] = emulator.NewEngine(emulator.WithSteps(emulator.StepModel{Base: 10 * time.Millisecond}))
	fleet.services[name] = emulator.NewService()
	fleet.replicas = append(fleet.replicas, router.Replica{Name: name, Address: name, Service: service})
	fleet.dispatcher.Router.Update(fleet.replicas)
	fleet.start(name)

	engine := fleet.engines[name]
	fleet.goroutines.Go(func() { engine.Run(fleet.backendContext) })
}

// busyReplica returns a replica whose engine runs a stream.
func (fleet *fleet) busyReplica() string {
	for name, engine := range fleet.engines {
		load, err := engine.Load(fleet.backendContext)
		require.NoError(fleet.t, err)

		if load.Running > 0 {
			return name
		}
	}

	return ""
}

// start starts or restarts the sidecar of a backend server.
func (fleet *fleet) start(name string) {
	ctx, cancel := context.WithCancel(context.Background())
	engine, service := fleet.engines[name], fleet.services[name]
	sidecar := executor.NewExecutor(ctx, kernel.NewDiscardCommon(name), admitter.NewFixed(64),
		executor.WithEngine(engine), executor.WithService(service))
	fleet.executors[name] = sidecar
	fleet.allExecutors = append(fleet.allExecutors, sidecar)
	fleet.stopSidecar[name] = cancel
	fleet.serve(ctx, name, executor.NewServer(sidecar))

	fleet.goroutines.Go(func() { sidecar.Maintain(ctx) })
}

func (fleet *fleet) serve(ctx context.Context, name string, service messenger.Service) {
	mux := drpcmux.New()
	require.NoError(fleet.t, service.RegisterService(mux))

	fleet.listeners[name] = emulator.NewSilentListener(fleet.network.Listen(name))
	listener := dialer.NewWriteTimeoutListener(fleet.listeners[name])
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: dialer.ManagerOptions()})
	fleet.goroutines.Go(func() { _ = server.Serve(ctx, listener) })
}

// kill stops a sidecar and breaks its connections, as a crash does.
func (fleet *fleet) kill(name string) {
	fleet.stopSidecar[name]()
	fleet.network.CloseConnections(name)
	time.Sleep(time.Millisecond)
}

func (fleet *fleet) close() {
	for _, stop := range fleet.stopSidecar {
		stop()
	}

	for _, sidecar := range fleet.allExecutors {
		sidecar.Wait()
	}

	fleet.stopBackends()
	fleet.network.Close()
	fleet.dispatcher.Dialer.Close()
	fleet.goroutines.Wait()
}

func (fleet *fleet) newCall(service string, idempotent bool) dispatcher.Call {
	return dispatcher.Call{
		ID:         dispatcher.NewRequestID(),
		Firm:       "kilimanjaro",
		Service:    service,
		Path:       "/v1/completions",
		Body:       []byte(requestBody),
		MediaType:  "application/json",
		Idempotent: idempotent,
		Plain:      service == plainService,
		Deadline:   time.Now().Add(time.Minute),
	}
}

// countStarts counts how often the backend servers started the call, over all its
// attempts.
func (fleet *fleet) countStarts(call dispatcher.Call) int {
	total := 0

	for name, engine := range fleet.engines {
		for _, suffix := range []string{"", "-1", "-2", "-3"} {
			id := dispatcher.AttemptID(call.ID+suffix, name)
			total += engine.StartCount(id) + fleet.services[name].CallCounts()[id]
		}
	}

	return total
}

// countEvents counts the recorded events of a kind.
func (fleet *fleet) countEvents(kind recorder.Kind) int {
	count := 0

	for _, event := range fleet.dispatcher.Recorder.Find(recorder.Query{}) {
		if event.Kind == kind {
			count++
		}
	}

	return count
}

const (
	requestBody = `{"model":"briefing","max_tokens":40,"prompt":"Pollen in Moshi?"}`
	tokenCount  = 40
)

func completeAnswer() string {
	text := strings.Builder{}
	for index := range tokenCount {
		text.WriteString(emulator.TokenText(emulator.AnswerSeed([]byte(requestBody)), index))
	}

	return text.String()
}

// sink collects an answer.
type sink struct {
	text       strings.Builder
	eventCount int
	ended      bool
	end        dispatcher.End
	// beforeEvent holds functions to call before the event of that index.
	beforeEvent map[int]func()
}

var _ dispatcher.Sink = (*sink)(nil)

func (sink *sink) Begin(string) error { return nil }

func (sink *sink) Event(event []byte) error {
	if action := sink.beforeEvent[sink.eventCount]; action != nil {
		action()
	}

	sink.eventCount++
	sink.text.Write(event)

	return nil
}

func (sink *sink) End(end dispatcher.End) error {
	sink.ended = true
	sink.end = end

	return nil
}

// fakeSidecarService registers a test's fake sidecar.
type fakeSidecarService struct {
	server messenger.DRPCSidecarServer
}

// RegisterService implements messenger.Service.
func (service *fakeSidecarService) RegisterService(mux drpc.Mux) error {
	return messenger.DRPCRegisterSidecar(mux, service.server)
}

// addFakeReplica adds a replica with a test's fake sidecar.
func (fleet *fleet) addFakeReplica(ctx context.Context, name string, sidecar messenger.DRPCSidecarServer) {
	fleet.replicas = append(fleet.replicas, router.Replica{Name: name, Address: name, Service: modelService})
	fleet.dispatcher.Router.Update(fleet.replicas)
	fleet.serve(ctx, name, &fakeSidecarService{server: sidecar})
}
