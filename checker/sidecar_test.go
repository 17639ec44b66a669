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

// sidecar is a slot beside one backend server, over all starts of its process.
type sidecar struct {
	fleet   *fleet
	name    string
	network *emulator.Network
	// lag is how long bytes to the sidecar and from it are under way.
	lag     atomic.Int64
	engine  *emulator.Engine
	service *emulator.Service

	mutex    sync.Mutex
	executor *executor.Executor
	stop     context.CancelFunc
	// late holds the dialling ends of its connections.
	late []*lateConn
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

// start begins a process that knows nothing of earlier ones, unless one runs.
func (sidecar *sidecar) start() {
	sidecar.mutex.Lock()
	defer sidecar.mutex.Unlock()

	if sidecar.executor != nil {
		return
	}

	ctx, cancel := context.WithCancel(sidecar.fleet.context)
	started := executor.NewExecutor(ctx, kernel.Discard(sidecar.name), admitter.NewFixed(64),
		executor.WithEngine(checker.NewEngine(sidecar.fleet.history, sidecar.name, sidecar.engine, requestOf)),
		executor.WithService(&startedService{Service: checker.NewService(sidecar.fleet.history, sidecar.name, sidecar.service, requestOf), context: ctx}))
	sidecar.executor, sidecar.stop = started, cancel

	mux := drpcmux.New()
	// A service is refused only when it is registered twice.
	_ = executor.NewServer(started).RegisterService(mux)
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: dialer.ManagerOptions()})
	listener := sidecar.network.Listen(sidecar.name)

	sidecar.fleet.running.Go(func() { started.Maintain(ctx) })
	sidecar.fleet.running.Go(func() { _ = server.Serve(ctx, listener) })
}

// startedService takes no call of a process that is gone.
type startedService struct {
	driver.Service
	context context.Context //nolint:containedctx // It is the process's life.
}

// Call implements driver.Service.
func (service *startedService) Call(ctx context.Context, call driver.ServiceCall) (driver.ServiceAnswer, error) {
	if err := service.context.Err(); err != nil {
		return driver.ServiceAnswer{}, err
	}

	return service.Service.Call(ctx, call)
}

// kill ends the process, if one runs.
func (sidecar *sidecar) kill() {
	sidecar.mutex.Lock()
	defer sidecar.mutex.Unlock()

	sidecar.end()
}

// end ends the process, with the mutex held.
func (sidecar *sidecar) end() {
	if sidecar.executor == nil {
		return
	}

	sidecar.fleet.history.Add(checker.Event{Kind: checker.KindKilled, Process: sidecar.name})
	sidecar.stop()
	sidecar.executor = nil
	sidecar.network.CloseConnections(sidecar.name)
}

// leave stops the process in good order and starts another.
func (sidecar *sidecar) leave() {
	leaving := sidecar.drain()
	if leaving == nil {
		return
	}

	leaving.Wait()
	leaving.Linger(sidecar.fleet.context)

	sidecar.mutex.Lock()
	if sidecar.executor == leaving {
		sidecar.end()
	}
	sidecar.mutex.Unlock()

	sidecar.start()
}

// drain tells the process to leave and returns it, if one runs.
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

	late := newLateConn(conn, &sidecar.lag)

	sidecar.mutex.Lock()
	sidecar.late = append(sidecar.late, late)
	sidecar.mutex.Unlock()

	return late, nil
}

// double sends all that was ever sent to the sidecar once more, on new
// connections.
func (sidecar *sidecar) double() {
	sidecar.mutex.Lock()
	earlier := append([]*lateConn{}, sidecar.late...)
	sidecar.mutex.Unlock()

	for _, late := range earlier {
		conn, err := sidecar.network.DialContext(sidecar.fleet.context, "tcp", sidecar.name)
		if err != nil {
			return
		}

		go func() { _, _ = conn.Write(late.written()) }()

		go func() {
			buffer := make([]byte, 1<<10)
			for err := error(nil); err == nil; {
				_, err = conn.Read(buffer)
			}
		}()
	}
}
