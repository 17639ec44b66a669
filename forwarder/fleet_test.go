package forwarder_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/emulator"
	"limpetrail/exchanger"
	"limpetrail/forwarder"
	"limpetrail/kernel"
	"limpetrail/matcher"
	"limpetrail/placer"
	"limpetrail/quarantiner"
)

const (
	serviceName = "briefing"
	// serverDowntime is how long a server that crashed is away.
	serverDowntime = 3 * time.Second
)

// fleet is one forwarder and a few event servers on an in-memory network.
type fleet struct {
	t           *testing.T
	network     *emulator.Network
	servers     []*emulator.EventServer
	httpServers []*http.Server
	placer      *placer.Placer
	forwarder   *forwarder.Forwarder
	backend     forwarder.Backend
	callCount   atomic.Int64
}

// withFleet runs a test with a fleet of so many servers, in a synctest bubble.
func withFleet(t *testing.T, count int, run func(fleet *fleet)) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		runWithFleet(t, kernel.NewDiscardCommon("entry-1"), count, func(fleet *fleet) {
			// Wait until all servers listen.
			synctest.Wait()
			run(fleet)
		})
		// Let goroutines and timers that outlive the test end within the bubble.
		time.Sleep(time.Minute)
	})
}

// runWithFleet runs a test with a fleet whose forwarder uses the given log and metrics.
func runWithFleet(t *testing.T, common kernel.Common, count int, run func(fleet *fleet), options ...placer.Option) {
	t.Helper()

	fleet := &fleet{t: t, network: emulator.NewNetwork(), placer: placer.NewPlacer(common, options...)}
	serverList := []placer.Server{}
	serving := sync.WaitGroup{}

	for index := range count {
		server := emulator.NewEventServer(fmt.Sprintf("server-%d", index+1), emulator.DefaultEventHeaders())
		server.Crash = func() { fleet.network.Crash(server.ID, serverDowntime) }
		fleet.servers = append(fleet.servers, server)
		serverList = append(serverList, placer.Server{ID: server.ID, Address: server.ID, Service: serviceName, Places: server.Places})
		listener := fleet.network.Listen(server.ID)
		httpServer := &http.Server{Handler: server, ReadHeaderTimeout: time.Minute}
		fleet.httpServers = append(fleet.httpServers, httpServer)

		serving.Go(func() { _ = httpServer.Serve(listener) })
	}

	fleet.placer.UpdateServers(serverList)

	httpExchanger := exchanger.NewExchanger(common, exchanger.WithDial(fleet.network.DialContext))
	backend := emulator.NewEventBackend(httpExchanger)
	fleet.backend = backend
	fleet.forwarder = forwarder.NewForwarder(common, fleet.placer, backend, quarantiner.NewQuarantiner(common, backend))

	run(fleet)

	fleet.network.Close()

	for _, httpServer := range fleet.httpServers {
		_ = httpServer.Close()
	}

	serving.Wait()
}

// recordedAnswer is a sink that keeps the answer and its timing.
type recordedAnswer struct {
	mutex sync.Mutex
	// heads counts the heads written.
	heads  int
	status int
	body   strings.Builder
	// lastWrite is when the last part was written.
	lastWrite time.Time
	// longestPause is the longest time between two parts.
	longestPause time.Duration
}

func (recorded *recordedAnswer) WriteHead(status int, _ http.Header, _ int64) {
	recorded.heads++
	recorded.status = status
}

func (recorded *recordedAnswer) Write(part []byte) error {
	recorded.mutex.Lock()
	defer recorded.mutex.Unlock()

	now := time.Now()
	if !recorded.lastWrite.IsZero() {
		recorded.longestPause = max(recorded.longestPause, now.Sub(recorded.lastWrite))
	}

	recorded.lastWrite = now
	recorded.body.Write(part)

	return nil
}

// eventStream returns a complete stream of so many events.
func eventStream(events int) string {
	text := strings.Builder{}
	for number := range events {
		fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", number, emulator.EventText(number))
	}

	return text.String()
}

// route returns a route with a latency target of 300 ms.
func route(kind matcher.Kind, resumable bool, attempts int) *matcher.Route {
	return &matcher.Route{
		Name: "r", Kind: kind, Resumable: resumable, AttemptLimit: attempts, Timeout: 5 * time.Second,
		LatencyTarget: 300 * time.Millisecond, EventGapTarget: 250 * time.Millisecond,
	}
}

// forward forwards a new call on the route. It returns the result, the answer and the
// call's ID.
func (fleet *fleet) forward(ctx context.Context, route *matcher.Route) (forwarder.Result, *recordedAnswer, string) {
	return fleet.forwardPrompt(ctx, route, "")
}

// forwardPrompt forwards a new call whose prompt has the given shared parts, separated by
// commas, before a part of its own.
func (fleet *fleet) forwardPrompt(ctx context.Context, route *matcher.Route, parts string) (forwarder.Result, *recordedAnswer, string) {
	return fleet.forwardBody(ctx, route, parts, "body")
}

// forwardBody is forwardPrompt for a call with this body.
func (fleet *fleet) forwardBody(ctx context.Context, route *matcher.Route, parts, body string) (forwarder.Result, *recordedAnswer, string) {
	id := fmt.Sprintf("call-%d", fleet.callCount.Add(1))
	answer := &recordedAnswer{}
	header := http.Header{}
	header.Set(emulator.DefaultEventHeaders().PromptParts, strings.TrimPrefix(parts+","+id, ","))

	call := &forwarder.Call{
		ID: id, Method: http.MethodPost, Target: "/a//b/../c?d=%2F", Host: "host", Header: header, Body: []byte(body),
		Route: route, Service: serviceName, Deadline: time.Now().Add(route.Timeout), LastEventID: -1,
	}

	return fleet.forwarder.Forward(ctx, call, answer), answer, id
}

// startedRuns returns how often a call was started, over all servers.
func (fleet *fleet) startedRuns(id string) int {
	total := 0
	for _, server := range fleet.servers {
		total += server.RunCount(id)
	}

	return total
}

func (fleet *fleet) setFaults(faults emulator.EventFaults) {
	for _, server := range fleet.servers {
		server.SetFaults(faults)
	}
}

// listServers lists the servers with so many places each.
func (fleet *fleet) listServers(places int) {
	list := []placer.Server{}
	for _, server := range fleet.servers {
		list = append(list, placer.Server{ID: server.ID, Address: server.ID, Service: serviceName, Places: places})
	}

	fleet.placer.UpdateServers(list)
}

// checkSuspects clears suspect servers that run, until the context ends.
func (fleet *fleet) checkSuspects(ctx context.Context) {
	for kernel.Pause(ctx, 400*time.Millisecond) {
		for _, server := range fleet.placer.SuspectServers() {
			if !fleet.forwarder.Backend.HasEnded(ctx, server) {
				fleet.placer.RecordPassedCheck(server)
			}
		}
	}
}

// stopServer stops a server: connections to it are refused.
func (fleet *fleet) stopServer(index int) {
	require.NoError(fleet.t, fleet.httpServers[index].Close())
}
