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

// fleet is a set of entries and sidecars that communicate over pipes in one
// synctest bubble.
type fleet struct {
	context  context.Context //nolint:containedctx // Cancelled at the end of the test.
	store    *emulator.Store
	sidecars map[string]*sidecar
}

// sidecar is the sidecar process of one plain service.
type sidecar struct {
	service *emulator.Service

	mutex    sync.Mutex
	executor *executor.Executor
	stop     context.CancelFunc
	// down makes dial fail.
	down bool
	// connections holds both ends of each open connection.
	connections []*connection
}

// connection is one end of a pipe. While silent, it drops what is written to it
// without an error at either end.
type connection struct {
	net.Conn
	// entryEnd is set for the entry's end of the pipe.
	entryEnd bool
	silent   atomic.Bool
}

// Write implements net.Conn.
func (connection *connection) Write(text []byte) (int, error) {
	if connection.silent.Load() {
		return len(text), nil
	}

	return connection.Conn.Write(text)
}

// newFleet starts a sidecar for each of the named replicas.
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
			sidecar.service.Faults.Set(emulator.FaultSwitches{})
			sidecar.closeConnections()
		}

		cancel()
		// A bubble's clock stops at the end of its test, so pending timers must
		// fire first.
		time.Sleep(maxTimer)
	})

	return fleet
}

// restart replaces the sidecar's process with a new one without any state.
func (fleet *fleet) restart(name string) {
	sidecar := fleet.sidecars[name]
	sidecar.closeConnections()

	sidecar.mutex.Lock()
	defer sidecar.mutex.Unlock()

	if sidecar.stop != nil {
		sidecar.stop()
	}

	ctx, cancel := context.WithCancel(fleet.context)
	sidecar.stop = cancel
	sidecar.executor = executor.NewExecutor(ctx, kernel.NewDiscardCommon(name), admitter.NewFixed(8), executor.WithService(sidecar.service))

	go sidecar.executor.Maintain(ctx)
}

func (sidecar *sidecar) setDown(down bool) {
	sidecar.mutex.Lock()
	sidecar.down = down
	sidecar.mutex.Unlock()

	sidecar.closeConnections()
}

// closeConnections closes every connection.
func (sidecar *sidecar) closeConnections() {
	sidecar.mutex.Lock()
	defer sidecar.mutex.Unlock()

	for _, connection := range sidecar.connections {
		connection.Close()
	}

	sidecar.connections = nil
}

// silence drops what is sent over the open connections from now on, to the
// sidecar, from it, or both.
func (sidecar *sidecar) silence(toSidecar, fromSidecar bool) {
	sidecar.mutex.Lock()
	defer sidecar.mutex.Unlock()

	for _, connection := range sidecar.connections {
		if toSidecar && connection.entryEnd || fromSidecar && !connection.entryEnd {
			connection.silent.Store(true)
		}
	}
}

// dial opens a connection to the sidecar named by the address.
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

	entryPipe, sidecarPipe := net.Pipe()
	entryEnd, sidecarEnd := &connection{Conn: entryPipe, entryEnd: true}, &connection{Conn: sidecarPipe}
	sidecar.connections = append(sidecar.connections, entryEnd, sidecarEnd)

	go func() { _ = drpcserver.New(mux).ServeOne(fleet.context, sidecarEnd) }()

	return entryEnd, nil
}

// entry returns the claimer of a new entry.
func (fleet *fleet) entry(t *testing.T, name string, options ...Option) *Claimer {
	t.Helper()

	common := kernel.NewDiscardCommon(name)
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

// executions returns how often the backend servers ran any request.
func (fleet *fleet) executions() int {
	total := 0

	for _, sidecar := range fleet.sidecars {
		for _, count := range sidecar.service.CallCounts() {
			total += count
		}
	}

	return total
}

// answerSink collects an answer as the caller receives it.
type answerSink struct {
	body       strings.Builder
	beginCalls int
	endCalls   int
	// disconnected makes each write fail.
	disconnected bool
}

func (sink *answerSink) Begin(string) error {
	sink.beginCalls++

	return sink.write(nil)
}

func (sink *answerSink) Event(event []byte) error { return sink.write(event) }

func (sink *answerSink) End(dispatcher.End) error {
	sink.endCalls++

	return sink.write(nil)
}

func (sink *answerSink) write(text []byte) error {
	if sink.disconnected {
		return errors.New("broken pipe")
	}

	sink.body.Write(text)

	return nil
}

const (
	// maxTimer is longer than all timers that a claimer and its connections set.
	maxTimer = 10 * time.Minute

	orderBody = `{"Machine":"excavator"}`
	// firstAnswer is the answer of a service whose first request is orderBody.
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

// send sends orderBody with the key "monday".
func send(claimer *Claimer) (Outcome, *answerSink) {
	answer := &answerSink{}

	return claimer.Do(context.Background(), orderCall(orderBody), "monday", answer), answer
}

// requireAnswer checks that the caller received the complete answer exactly once.
func requireAnswer(t *testing.T, outcome Outcome, answer *answerSink) {
	t.Helper()
	require.Equal(t, "Answered", string(outcome.Fate), outcome.Reason)
	require.Equal(t, firstAnswer, answer.body.String())
	require.Equal(t, 1, answer.beginCalls)
	require.Equal(t, 1, answer.endCalls)
}

// callResult is the result of a call in another goroutine.
type callResult struct {
	outcome Outcome
	answer  *answerSink
}

func requireResult(t *testing.T, result callResult) {
	t.Helper()
	requireAnswer(t, result.outcome, result.answer)
}
