package batcher_test

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

	"limpetrail/batcher"
	"limpetrail/bookkeeper"
	"limpetrail/emulator"
	"limpetrail/exchanger"
	"limpetrail/follower"
	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/librarian"
	"limpetrail/matcher"
	"limpetrail/placer"
	"limpetrail/quarantiner"
	"limpetrail/registrar"
)

const (
	host          = "host"
	serviceName   = "model"
	eventsPerItem = 20
	// valueBytes is the longest value of the key-value service, less than in production so that
	// tests reach it with little output.
	valueBytes = 64 << 10
	// jobID is the job that most scenarios submit.
	jobID = "job"
	// completionTimeout is far more than a job needs without faults.
	completionTimeout = 30 * time.Second
)

// gateway is one process that runs jobs.
type gateway struct {
	name    string
	catalog *emulator.Catalog
	client  *keeper.CatalogClient
	batcher *batcher.Batcher
	placer  *placer.Placer
	stop    context.CancelFunc
	stopped chan struct{}
	killed  atomic.Bool
}

// fleet is a set of gateways and of backend servers that stream events, all in one
// synctest bubble.
type fleet struct {
	t           *testing.T
	network     *emulator.Network
	catalog     *emulator.Catalog
	servers     []*emulator.EventServer
	httpServers []*http.Server
	gateways    []*gateway
	// allGateways holds all gateways that were ever started.
	allGateways   []*gateway
	configuration *matcher.CurrentDocument
	startCount    int
	goroutines    sync.WaitGroup
	// watchPause is the pause before each watch of the gateways started from now on.
	watchPause time.Duration
	// partitioned is set while gateways cannot reach each other.
	partitioned atomic.Bool
	// silentProcesses holds the processes whose load reports are missing.
	silentProcesses sync.Map
	// dropHandoverReplies is set while handovers arrive, but their answers are lost.
	dropHandoverReplies atomic.Bool
	// hangHandovers is set while handovers hang until their timeout.
	hangHandovers atomic.Bool
}

// newFleet runs a scenario with gateways and backend servers, and stops them after it.
func newFleet(t *testing.T, gateways, servers int, scenario func(fleet *fleet)) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		fleet := &fleet{t: t, network: emulator.NewNetwork(), catalog: emulator.NewCatalog(), configuration: matcher.NewCurrentDocument(kernel.NewDiscardCommon("fleet"))}
		fleet.configure(1, true)
		fleet.catalog.SetValueBytes(valueBytes)

		for index := range servers {
			server := emulator.NewEventServer(fmt.Sprintf("server-%d", index+1), emulator.DefaultEventHeaders())
			server.EventCount = eventsPerItem
			server.Crash = func() { fleet.network.Crash(server.ID, 3*time.Second) }
			fleet.servers = append(fleet.servers, server)
			listener := fleet.network.Listen(server.ID)
			httpServer := &http.Server{Handler: server, ReadHeaderTimeout: time.Hour}
			fleet.httpServers = append(fleet.httpServers, httpServer)

			fleet.goroutines.Go(func() { _ = httpServer.Serve(listener) })
		}

		for range gateways {
			fleet.startCount++
			fleet.gateways = append(fleet.gateways, fleet.startGateway(fmt.Sprintf("gateway-%d", fleet.startCount)))
		}

		time.Sleep(time.Second)
		scenario(fleet)

		for _, gateway := range fleet.allGateways {
			gateway.catalog.Faults.Set(emulator.FaultSwitches{})
			gateway.stop()
			<-gateway.stopped
		}

		fleet.network.Close()

		for _, httpServer := range fleet.httpServers {
			_ = httpServer.Close()
		}

		fleet.goroutines.Wait()
		time.Sleep(time.Hour)
	})
}

// configure applies a configuration with or without the batch route.
func (fleet *fleet) configure(version int64, withRoute bool) {
	routes := []matcher.Route{}
	if withRoute {
		routes = append(routes, matcher.Route{Name: "batch", Host: host, Prefix: "/batch/", Kind: matcher.Batch, AttemptLimit: 3, Shares: []matcher.Share{{Service: serviceName, Weight: 1}}})
	}

	fleet.configuration.Apply(matcher.NewDocument(version, routes, nil, matcher.Limits{}))
}

// startGateway starts the components of a gateway that jobs need.
func (fleet *fleet) startGateway(name string) *gateway {
	common := kernel.NewDiscardCommon(name)
	catalogClient := fleet.catalog.NewClient()
	settings := keeper.DefaultSettings()
	settings.CallTimeout, settings.ValueBytes = time.Second, valueBytes
	// Gateways use the same probe intervals in production.
	settings.FirstProbe, settings.LastProbe = 200*time.Millisecond, time.Second
	client := keeper.NewCatalogClient(common, catalogClient, settings)
	places := placer.NewPlacer(common)
	placerServers := []placer.Server{}

	for _, server := range fleet.servers {
		placerServers = append(placerServers, placer.Server{ID: server.ID, Address: server.ID, Service: serviceName, Places: server.Places})
	}

	places.UpdateServers(placerServers)

	fleet.startCount++
	member := registrar.Member{Name: name, Incarnation: fmt.Sprint(fleet.startCount)}
	memberRegistrar := registrar.NewRegistrar(common, client, member)
	connections := exchanger.NewExchanger(common, exchanger.WithDial(fleet.network.DialContext))
	backend := emulator.NewEventBackend(connections)
	jobBatcher := batcher.NewBatcher(common, client, places, backend, quarantiner.NewQuarantiner(common, backend), fleet.configuration, nil, member.ProcessID(), memberRegistrar.RegistrationValid, batcher.DefaultSettings(), batcher.WithInquirer(fleet), batcher.WithConveyer(fleet), batcher.WithSilenceCheck(fleet.isSilent))

	ctx, cancel := context.WithCancel(context.Background())
	newGateway := &gateway{name: name, catalog: catalogClient, client: client, batcher: jobBatcher, placer: places, stop: cancel, stopped: make(chan struct{})}
	serving, stopServing := context.WithCancel(context.Background())

	pause := fleet.watchPause
	pauseOption := follower.WithPauseBeforeWatch(func() time.Duration { return pause })

	var memberFollower *follower.Follower

	memberFollower = follower.NewFollower(common, client, registrar.MembersPrefix, func(snapshot follower.Copy) {
		members, err := registrar.DecodeMembers(snapshot)
		require.NoError(fleet.t, err)

		live := map[string]bool{}
		for _, member := range members {
			live[member.ProcessID()] = true
		}

		jobBatcher.SetMembers(live, memberFollower.SyncedRevision())
		memberRegistrar.CheckEntry(members)
	}, pauseOption, follower.WithRemovalDelay(follower.RemovalBounds{}))

	for _, keyFollower := range []*follower.Follower{
		memberFollower, follower.NewFollower(common, client, bookkeeper.PrefixHeads, jobBatcher.SetHeads, pauseOption),
	} {
		fleet.goroutines.Go(func() { keyFollower.Run(serving) })
	}

	fleet.goroutines.Go(func() { memberRegistrar.Run(serving) })
	// Health checks pass where a server can be reached, whatever it answers.
	fleet.goroutines.Go(func() {
		for serving.Err() == nil {
			time.Sleep(400 * time.Millisecond)

			for _, suspect := range places.SuspectServers() {
				conn, err := fleet.network.DialContext(serving, "tcp", suspect.Address)
				if err != nil {
					continue
				}

				conn.Close()
				places.RecordPassedCheck(suspect)
			}
		}
	})
	fleet.goroutines.Go(func() {
		jobBatcher.Run(ctx)
		stopServing()
		close(newGateway.stopped)
	})

	fleet.allGateways = append(fleet.allGateways, newGateway)

	return newGateway
}

// submit submits the job with jobID to a gateway.
func (fleet *fleet) submit(gateway, items int) bookkeeper.Outcome {
	return fleet.submitJob(gateway, jobID, items)
}

// acceptedBy sets the version of the configuration by which a job is accepted.
func acceptedBy(version int64) func(job *bookkeeper.Job) {
	return func(job *bookkeeper.Job) { job.Configuration = version }
}

func (fleet *fleet) submitJob(gateway int, id string, items int, options ...func(job *bookkeeper.Job)) bookkeeper.Outcome {
	job := bookkeeper.Job{ID: id, Host: host, Submitted: time.Now(), Due: time.Now().Add(18 * time.Second), GiveUp: time.Now().Add(time.Minute)}
	for number := range items {
		job.Items = append(job.Items, bookkeeper.Item{ID: itemID(number), Target: "/batch/x", Body: []byte("body of " + itemID(number))})
	}

	for _, option := range options {
		option(&job)
	}

	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()

	return fleet.gateways[gateway].batcher.Submit(ctx, job)
}

func itemID(number int) string {
	return fmt.Sprintf("%s-%d", jobID, number)
}

// readAll returns all results that a gateway returns, and the total number of items.
func (fleet *fleet) readAll(gateway int) ([]bookkeeper.Result, int) {
	ctx := context.Background()
	results := []bookkeeper.Result{}
	deadline := time.Now().Add(10 * time.Second)

	for {
		page, outcome := fleet.gateways[gateway].batcher.ReadResults(ctx, jobID, len(results), 0)
		if outcome == bookkeeper.NotDone && time.Now().Before(deadline) {
			// A gateway that cannot tell all results returns NotDone, and the reader retries.
			time.Sleep(300 * time.Millisecond)

			continue
		}

		require.Equal(fleet.t, bookkeeper.OK, outcome)

		if len(page.Results) == 0 {
			return results, page.Total
		}

		require.Equal(fleet.t, len(results)+len(page.Results), page.Next)

		results = append(results, page.Results...)
	}
}

// requireComplete waits until the job is done, and checks its results at all gateways.
func (fleet *fleet) requireComplete(items int) {
	fleet.t.Helper()

	deadline := time.Now().Add(completionTimeout)

	for {
		results, total := fleet.readAll(len(fleet.gateways) - 1)
		require.Equal(fleet.t, items, total)

		if len(results) == items {
			break
		}

		require.True(fleet.t, time.Now().Before(deadline), "only %d of %d items were committed in time", len(results), items)
		time.Sleep(100 * time.Millisecond)
	}

	expected, _ := fleet.readAll(0)
	seen := map[string]bool{}

	for _, result := range expected {
		require.False(fleet.t, seen[result.ID], "an item has two results")

		seen[result.ID] = true

		require.Equal(fleet.t, bookkeeper.Completed, result.State)
		require.Equal(fleet.t, expectedOutput(), result.Output)
	}

	for gateway := range fleet.gateways {
		results, _ := fleet.readAll(gateway)
		require.Equal(fleet.t, expected, results, "gateways return results in different orders")
	}
}

func expectedOutput() string {
	lines := []string{}
	for number := range eventsPerItem {
		lines = append(lines, emulator.EventText(number))
	}

	return strings.Join(lines, "\n")
}

// setServerFaults sets the faults of all backend servers.
func (fleet *fleet) setServerFaults(faults emulator.EventFaults) {
	for _, server := range fleet.servers {
		server.SetFaults(faults)
	}
}

// kill stops a gateway without notice: nothing that it sends arrives any more.
func (fleet *fleet) kill(gateway int) {
	fleet.gateways[gateway].catalog.Faults.Set(emulator.FaultSwitches{Freeze: true})
	fleet.gateways[gateway].placer.UpdateServers(nil)
	fleet.gateways[gateway].killed.Store(true)
}

// AskOwner implements librarian.Inquirer. Gateways reach each other whether or not they reach
// the key-value service.
func (fleet *fleet) AskOwner(ctx context.Context, process, job string, after int, wait time.Duration) (librarian.ResultsPage, bool) {
	for _, gateway := range fleet.allGateways {
		if gateway.batcher.ProcessID == process && !gateway.killed.Load() && !fleet.partitioned.Load() {
			return gateway.batcher.Librarian.ReadForPeer(ctx, job, after, wait)
		}
	}

	return librarian.ResultsPage{}, false
}

// HandOver implements batcher.Conveyer.
func (fleet *fleet) HandOver(ctx context.Context, process string, handover batcher.Handover) bool {
	if fleet.hangHandovers.Load() {
		<-ctx.Done()

		return false
	}

	for _, gateway := range fleet.allGateways {
		if gateway.batcher.ProcessID == process && !gateway.killed.Load() && !fleet.partitioned.Load() {
			return gateway.batcher.AcceptHandover(handover) && !fleet.dropHandoverReplies.Load()
		}
	}

	return false
}

func (fleet *fleet) isSilent(process string) bool {
	_, silent := fleet.silentProcesses.Load(process)

	return silent
}

// setCatalogFaults sets the faults of the key-value service for all gateways.
func (fleet *fleet) setCatalogFaults(switches emulator.FaultSwitches) {
	for _, gateway := range fleet.gateways {
		gateway.catalog.Faults.Set(switches)
	}
}

// startedCount is how many attempts at an item were started on all backend servers.
func (fleet *fleet) startedCount(id string) int {
	count := 0
	for _, server := range fleet.servers {
		count += server.RunCount(id)
	}

	return count
}
