package claimer

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"limpetrail/admitter"
	"limpetrail/dialer"
	"limpetrail/dispatcher"
	"limpetrail/emulator"
	"limpetrail/executor"
	"limpetrail/kernel"
	"limpetrail/router"
)

// fleet is entries and sidecars over pipes, in one bubble.
type fleet struct {
	context  context.Context //nolint:containedctx // It ends the fleet with its test.
	store    *emulator.Store
	sidecars map[string]*sidecar
}

// sidecar is the process beside one plain service.
type sidecar struct {
	service *emulator.Service

	mutex    sync.Mutex
	executor *executor.Executor
	stop     context.CancelFunc
	// down refuses connections.
	down bool
	// connections are the open ones' ends, for cutting and silencing them.
	connections []*connection
}

// connection is one end of a pipe. Once silent, what it writes is lost, and
// neither end notices.
type connection struct {
	net.Conn
	// near is set on the entry's end.
	near   bool
	silent atomic.Bool
}

// Write implements net.Conn.
func (connection *connection) Write(text []byte) (int, error) {
	if connection.silent.Load() {
		return len(text), nil
	}

	return connection.Conn.Write(text)
}

// newFleet starts a sidecar beside each of the named replicas.
func newFleet(t *testing.T, replicas ...string) *fleet {
	t.Helper()

	ctx, cancel := context.WithCancel(t.Context())
	fleet := &fleet{context: ctx, store: emulator.NewStore(), sidecars: map[string]*sidecar{}}

	for _, name := range replicas {
		fleet.sidecars[name] = &sidecar{service: emulator.NewService()}
		fleet.restart(name)
	}

	t.Cleanup(func() {
		for _, sidecar := range fleet.sidecars {
			sidecar.service.Faults.Set(emulator.Switches{})
			sidecar.cut()
		}

		cancel()
		// Time stands still after a bubble's test, so its timers run out first.
		time.Sleep(settled)
	})

	return fleet
}

// restart replaces the sidecar's process by a new one that knows nothing.
func (fleet *fleet) restart(name string) {
	sidecar := fleet.sidecars[name]
	sidecar.cut()

	sidecar.mutex.Lock()
	defer sidecar.mutex.Unlock()

	if sidecar.stop != nil {
		sidecar.stop()
	}

	ctx, cancel := context.WithCancel(fleet.context)
	sidecar.stop = cancel
	sidecar.executor = executor.NewExecutor(ctx, kernel.Discard(name), admitter.NewFixed(8), executor.WithService(sidecar.service))

	go sidecar.executor.Tend(ctx)
}

func (sidecar *sidecar) setDown(down bool) {
	sidecar.mutex.Lock()
	sidecar.down = down
	sidecar.mutex.Unlock()

	sidecar.cut()
}

// cut closes every connection.
func (sidecar *sidecar) cut() {
	sidecar.mutex.Lock()
	defer sidecar.mutex.Unlock()

	for _, connection := range sidecar.connections {
		connection.Close()
	}

	sidecar.connections = nil
}

// silence loses what goes over the open connections from now on, to the
// sidecar, from it, or both.
func (sidecar *sidecar) silence(to, from bool) {
	sidecar.mutex.Lock()
	defer sidecar.mutex.Unlock()

	for _, connection := range sidecar.connections {
		if to && connection.near || from && !connection.near {
			connection.silent.Store(true)
		}
	}
}

// dial opens a connection to the sidecar of that name.
func (fleet *fleet) dial(_ context.Context, _, address string) (net.Conn, error) {
	sidecar := fleet.sidecars[address]

	sidecar.mutex.Lock()
	defer sidecar.mutex.Unlock()

	if sidecar.down {
		return nil, errors.New("connection refused")
	}

	mux := drpcmux.New()
	if err := executor.NewServer(sidecar.executor).RegisterService(mux); err != nil {
		return nil, err
	}

	entryEnd, sidecarEnd := net.Pipe()
	near, far := &connection{Conn: entryEnd, near: true}, &connection{Conn: sidecarEnd}
	sidecar.connections = append(sidecar.connections, near, far)

	go func() { _ = drpcserver.New(mux).ServeOne(fleet.context, far) }()

	return near, nil
}

// entry returns a claimer in a process of its own.
func (fleet *fleet) entry(t *testing.T, name string, options ...Option) *Claimer {
	t.Helper()

	common := kernel.Discard(name)
	routes := router.NewRouter(common, router.WithSeed(1))
	replicas := []router.Replica{}

	for replica := range fleet.sidecars {
		replicas = append(replicas, router.Replica{Name: replica, Address: replica, Service: "order"})
	}

	routes.Update(replicas)

	connections := dialer.NewDialer(dialer.WithDialContext(fleet.dial))
	t.Cleanup(func() { _ = connections.Close() })

	return NewClaimer(common, fleet.store, dispatcher.NewDispatcher(common, routes, connections), options...)
}

// acts is how often any backend server acted on any request.
func (fleet *fleet) acts() int {
	total := 0

	for _, sidecar := range fleet.sidecars {
		for _, count := range sidecar.service.Acts() {
			total += count
		}
	}

	return total
}

// read is an answer as the caller sees it.
type read struct {
	body  strings.Builder
	begun int
	ended int
	// gone makes every write fail.
	gone bool
}

func (read *read) Begin(string) error {
	read.begun++

	return read.write(nil)
}

func (read *read) Event(event []byte) error { return read.write(event) }

func (read *read) End(dispatcher.End) error {
	read.ended++

	return read.write(nil)
}

func (read *read) write(text []byte) error {
	if read.gone {
		return errors.New("broken pipe")
	}

	read.body.Write(text)

	return nil
}

const (
	// settled is past every timer that a claimer and its connections set.
	settled = 10 * time.Minute

	orderBody = `{"Machine":"excavator"}`
	// firstAnswer is what the service answers to the order when it acts on it
	// before anything else.
	firstAnswer = `{"Act":1,"Bytes":23}`
)

func orderCall(body string) dispatcher.Call {
	return dispatcher.Call{
		ID:        dispatcher.NewRequestID(),
		Firm:      "konevuokra",
		Service:   "order",
		Path:      "/orders",
		Body:      []byte(body),
		MediaType: "application/json",
		Plain:     true,
		Deadline:  time.Now().Add(30 * time.Second),
	}
}

// send sends the order with the key "monday".
func send(claimer *Claimer) (Outcome, *read) {
	answer := &read{}

	return claimer.Do(context.Background(), orderCall(orderBody), "monday", answer), answer
}

// requireAnswer checks that the caller got the one whole answer, once.
func requireAnswer(t *testing.T, outcome Outcome, answer *read) {
	t.Helper()
	require.Equal(t, "Answered", string(outcome.Fate), outcome.Reason)
	require.Equal(t, firstAnswer, answer.body.String())
	require.Equal(t, 1, answer.begun)
	require.Equal(t, 1, answer.ended)
}

// told is what a caller in another goroutine was told.
type told struct {
	outcome Outcome
	answer  *read
}

func requireTold(t *testing.T, told told) {
	t.Helper()
	requireAnswer(t, told.outcome, told.answer)
}
