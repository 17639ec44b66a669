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

// fleet is a dispatcher and sidecars on an in-memory network, in a bubble.
type fleet struct {
	t          *testing.T
	network    *emulator.Network
	dispatcher *dispatcher.Dispatcher
	replicas   []router.Replica
	engines    map[string]*emulator.Engine
	services   map[string]*emulator.Service
	executors  map[string]*executor.Executor
	// past holds every start of every sidecar.
	past  []*executor.Executor
	stops map[string]func()
	ended sync.WaitGroup
	// context ends the backend servers.
	context context.Context //nolint:containedctx // It ends what the bubble started.
	stop    func()
}

func newFleet(t *testing.T, change func(*dispatcher.Settings)) *fleet {
	t.Helper()

	settings := dispatcher.DefaultSettings()
	if change != nil {
		change(&settings)
	}

	network := emulator.NewNetwork()
	common := kernel.Discard("entry-1")
	fleet := &fleet{
		t:       t,
		network: network,
		dispatcher: dispatcher.NewDispatcher(common, router.NewRouter(common, router.WithSeed(1)),
			dialer.NewDialer(dialer.WithDialContext(network.DialContext)), dispatcher.WithSettings(settings)),
		engines:   map[string]*emulator.Engine{},
		services:  map[string]*emulator.Service{},
		executors: map[string]*executor.Executor{},
		stops:     map[string]func(){},
	}
	fleet.context, fleet.stop = context.WithCancel(context.Background())
	t.Cleanup(fleet.close)

	return fleet
}

// add starts a backend server and its sidecar.
func (fleet *fleet) add(name, service string) {
	fleet.engines[name] = emulator.NewEngine(emulator.WithSteps(emulator.StepModel{Base: 10 * time.Millisecond}))
	fleet.services[name] = emulator.NewService()
	fleet.replicas = append(fleet.replicas, router.Replica{Name: name, Address: name, Service: service})
	fleet.dispatcher.Router.Update(fleet.replicas)
	fleet.start(name)

	engine := fleet.engines[name]
	fleet.ended.Go(func() { engine.Run(fleet.context) })
}

// running returns the replica whose engine runs a stream.
func (fleet *fleet) running() string {
	for name, engine := range fleet.engines {
		load, err := engine.Load(fleet.context)
		require.NoError(fleet.t, err)

		if load.Running > 0 {
			return name
		}
	}

	return ""
}

// start begins a new start of the sidecar beside its backend server.
func (fleet *fleet) start(name string) {
	ctx, cancel := context.WithCancel(context.Background())
	engine, service := fleet.engines[name], fleet.services[name]
	sidecar := executor.NewExecutor(ctx, kernel.Discard(name), admitter.NewFixed(64),
		executor.WithEngine(engine), executor.WithService(service))
	fleet.executors[name] = sidecar
	fleet.past = append(fleet.past, sidecar)
	fleet.stops[name] = cancel
	fleet.serve(ctx, name, executor.NewServer(sidecar))

	fleet.ended.Go(func() { sidecar.Maintain(ctx) })
}

func (fleet *fleet) serve(ctx context.Context, name string, service messenger.Service) {
	mux := drpcmux.New()
	require.NoError(fleet.t, service.RegisterService(mux))

	listener := dialer.NewBoundedListener(fleet.network.Listen(name))
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: dialer.ManagerOptions()})
	fleet.ended.Go(func() { _ = server.Serve(ctx, listener) })
}

// kill ends a sidecar as a lost process does.
func (fleet *fleet) kill(name string) {
	fleet.stops[name]()
	fleet.network.Break(name)
	time.Sleep(time.Millisecond)
}

func (fleet *fleet) close() {
	for _, stop := range fleet.stops {
		stop()
	}

	for _, sidecar := range fleet.past {
		sidecar.Wait()
	}

	fleet.stop()
	fleet.network.Close()
	fleet.dispatcher.Dialer.Close()
	fleet.ended.Wait()
}

func (fleet *fleet) call(service string, idempotent bool) dispatcher.Call {
	return dispatcher.Call{
		ID:         dispatcher.NewRequestID(),
		Firm:       "kilimanjaro",
		Service:    service,
		Path:       "/v1/completions",
		Body:       []byte(body),
		MediaType:  "application/json",
		Idempotent: idempotent,
		Plain:      service == plainService,
		Deadline:   time.Now().Add(time.Minute),
	}
}

// starts counts how often the backend servers began the call.
func (fleet *fleet) starts(call dispatcher.Call) int {
	total := 0

	for name, engine := range fleet.engines {
		for _, suffix := range []string{"", "-1", "-2", "-3"} {
			id := dispatcher.AttemptID(call.ID+suffix, name)
			total += engine.Starts(id) + fleet.services[name].Acts()[id]
		}
	}

	return total
}

// events counts the recorded events of a kind.
func (fleet *fleet) events(kind recorder.Kind) int {
	count := 0

	for _, event := range fleet.dispatcher.Recorder.Find(recorder.Query{}) {
		if event.Kind == kind {
			count++
		}
	}

	return count
}

const (
	body   = `{"model":"briefing","max_tokens":40,"prompt":"Pollen in Moshi?"}`
	tokens = 40
)

func wholeAnswer() string {
	text := strings.Builder{}
	for index := range tokens {
		text.WriteString(emulator.TokenText(emulator.Seed([]byte(body)), index))
	}

	return text.String()
}

// sink collects an answer.
type sink struct {
	text  strings.Builder
	count int
	ended bool
	end   dispatcher.End
	// at is called before the event of that index is taken.
	at map[int]func()
}

var _ dispatcher.Sink = (*sink)(nil)

func (sink *sink) Begin(string) error { return nil }

func (sink *sink) Event(event []byte) error {
	if act := sink.at[sink.count]; act != nil {
		act()
	}

	sink.count++
	sink.text.Write(event)

	return nil
}

func (sink *sink) End(end dispatcher.End) error {
	sink.ended = true
	sink.end = end

	return nil
}

// fakeService registers a sidecar that a test made.
type fakeService struct {
	server messenger.DRPCSidecarServer
}

// RegisterService implements messenger.Service.
func (service *fakeService) RegisterService(mux drpc.Mux) error {
	return messenger.DRPCRegisterSidecar(mux, service.server)
}

// addFake adds a replica whose sidecar a test made.
func (fleet *fleet) addFake(ctx context.Context, name string, sidecar messenger.DRPCSidecarServer) {
	fleet.replicas = append(fleet.replicas, router.Replica{Name: name, Address: name, Service: modelService})
	fleet.dispatcher.Router.Update(fleet.replicas)
	fleet.serve(ctx, name, &fakeService{server: sidecar})
}
