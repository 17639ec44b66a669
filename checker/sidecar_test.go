package checker_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"limpetrail/admitter"
	"limpetrail/checker"
	"limpetrail/dialer"
	"limpetrail/driver"
	"limpetrail/emulator"
	"limpetrail/executor"
	"limpetrail/kernel"
)

// sidecar is the sidecar of one backend server, over all restarts of its process.
type sidecar struct {
	fleet   *fleet
	name    string
	network *emulator.Network
	// delay is the network delay to and from the sidecar, in nanoseconds.
	delay   atomic.Int64
	engine  *emulator.Engine
	service *emulator.Service

	mutex    sync.Mutex
	executor *executor.Executor
	stop     context.CancelFunc
	// connections are the dialling ends of the connections to the sidecar.
	connections []*delayedConn
}

func newSidecar(fleet *fleet, name string) *sidecar {
	sidecar := &sidecar{
		fleet:   fleet,
		name:    name,
		network: emulator.NewNetwork(),
		engine:  emulator.NewEngine(emulator.WithSteps(emulator.StepModel{Base: 20 * time.Millisecond})),
		service: emulator.NewService(),
	}

	fleet.running.Go(func() { sidecar.engine.Run(fleet.context) })
	sidecar.start()

	return sidecar
}

// start starts a process without any state of earlier ones, unless one runs.
func (sidecar *sidecar) start() {
	sidecar.mutex.Lock()
	defer sidecar.mutex.Unlock()

	if sidecar.executor != nil {
		return
	}

	ctx, cancel := context.WithCancel(sidecar.fleet.context)
	started := executor.NewExecutor(ctx, kernel.NewDiscardCommon(sidecar.name), admitter.NewFixed(64),
		executor.WithEngine(checker.NewRecordingEngine(sidecar.fleet.history, sidecar.name, sidecar.engine, requestIDOf)),
		executor.WithService(&processService{Service: checker.NewRecordingService(sidecar.fleet.history, sidecar.name, sidecar.service, requestIDOf), context: ctx}))
	sidecar.executor, sidecar.stop = started, cancel

	mux := drpcmux.New()
	// Registration fails only for a service that is registered twice.
	_ = executor.NewServer(started).RegisterService(mux)
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: dialer.ManagerOptions()})
	listener := sidecar.network.Listen(sidecar.name)

	sidecar.fleet.running.Go(func() { started.Maintain(ctx) })
	sidecar.fleet.running.Go(func() { _ = server.Serve(ctx, listener) })
}

// processService refuses calls after its process has ended.
type processService struct {
	driver.Service
	context context.Context //nolint:containedctx // It is cancelled when the process ends.
}

// Call implements driver.Service.
func (service *processService) Call(ctx context.Context, call driver.ServiceCall) (driver.ServiceAnswer, error) {
	if err := service.context.Err(); err != nil {
		return driver.ServiceAnswer{}, err
	}

	return service.Service.Call(ctx, call)
}

// kill ends the process, if one runs.
func (sidecar *sidecar) kill() {
	sidecar.mutex.Lock()
	defer sidecar.mutex.Unlock()

	sidecar.killLocked()
}

// killLocked ends the process, if one runs. The caller holds the mutex.
func (sidecar *sidecar) killLocked() {
	if sidecar.executor == nil {
		return
	}

	sidecar.fleet.history.Add(checker.Event{Kind: checker.KindKilled, Process: sidecar.name})
	sidecar.stop()
	sidecar.executor = nil
	sidecar.network.CloseConnections(sidecar.name)
}

// restartGracefully drains and stops the process, then starts a new one.
func (sidecar *sidecar) restartGracefully() {
	leaving := sidecar.drain()
	if leaving == nil {
		return
	}

	leaving.Wait()
	leaving.Linger(sidecar.fleet.context)

	sidecar.mutex.Lock()
	if sidecar.executor == leaving {
		sidecar.killLocked()
	}
	sidecar.mutex.Unlock()

	sidecar.start()
}

// drain starts to drain the process and returns it, or nil if none runs.
func (sidecar *sidecar) drain() *executor.Executor {
	sidecar.mutex.Lock()
	defer sidecar.mutex.Unlock()

	if sidecar.executor != nil {
		sidecar.executor.Drain()
		sidecar.fleet.history.Add(checker.Event{Kind: checker.KindLeaving, Process: sidecar.name})
	}

	return sidecar.executor
}

// dial opens a connection to the sidecar.
func (sidecar *sidecar) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := sidecar.network.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}

	delayed := newDelayedConn(conn, &sidecar.delay)

	sidecar.mutex.Lock()
	sidecar.connections = append(sidecar.connections, delayed)
	sidecar.mutex.Unlock()

	return delayed, nil
}

// replayRequests sends the data of all earlier connections to the sidecar again,
// over new ones.
func (sidecar *sidecar) replayRequests() {
	sidecar.mutex.Lock()
	earlier := append([]*delayedConn{}, sidecar.connections...)
	sidecar.mutex.Unlock()

	for _, replayed := range earlier {
		conn, err := sidecar.network.DialContext(sidecar.fleet.context, "tcp", sidecar.name)
		if err != nil {
			return
		}

		go func() { _, _ = conn.Write(replayed.sentBytes()) }()

		go func() {
			buffer := make([]byte, 1<<10)
			for err := error(nil); err == nil; {
				_, err = conn.Read(buffer)
			}
		}()
	}
}
