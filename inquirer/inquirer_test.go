package inquirer_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/batcher"
	"limpetrail/bookkeeper"
	"limpetrail/emulator"
	"limpetrail/exchanger"
	"limpetrail/inquirer"
	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/librarian"
	"limpetrail/matcher"
	"limpetrail/placer"
	"limpetrail/quarantiner"
)

const (
	ownerID      = "gateway-1#1"
	ownerAddress = "gateway-1"
	jobID        = "job-1"
	// promptAnswer bounds the time of an answer that is given without waiting. It is far
	// less than any wait in these tests.
	promptAnswer = 50 * time.Millisecond
)

// fixture is a process that owns one job of one item, and a process that asks it for
// results.
type fixture struct {
	t             *testing.T
	network       *emulator.Network
	owner         *batcher.Batcher
	asker         *inquirer.Inquirer
	authoritative bool
	itemMayFinish chan struct{}
	listener      net.Listener
}

// runFixture runs a test in a synctest bubble. The item does not finish before the test
// closes itemMayFinish.
func runFixture(t *testing.T, test func(fixture *fixture)) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		common := kernel.NewDiscardCommon(ownerAddress)
		fixture := &fixture{t: t, network: emulator.NewNetwork(), authoritative: true, itemMayFinish: make(chan struct{})}
		client := keeper.NewCatalogClient(common, emulator.NewCatalog(), keeper.DefaultSettings())
		document := matcher.NewCurrentDocument(common)
		document.Apply(matcher.NewDocument(1, []matcher.Route{{
			Name: "batch", Host: "host", Prefix: "/", Kind: matcher.Batch, AttemptLimit: 3, Shares: []matcher.Share{{Service: "model", Weight: 1}},
		}}, nil, matcher.Limits{}))

		places := placer.NewPlacer(common)
		places.UpdateServers([]placer.Server{{ID: "server-1", Address: "server-1", Service: "model", Places: 8}})

		server := emulator.NewEventServer("server-1", emulator.DefaultEventHeaders())
		server.EventCount = 2
		gatedServer := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			<-fixture.itemMayFinish
			server.ServeHTTP(writer, request)
		})
		backend := emulator.NewEventBackend(exchanger.NewExchanger(common, exchanger.WithDial(fixture.network.DialContext)))
		fixture.owner = batcher.NewBatcher(common, client, places, backend, quarantiner.NewQuarantiner(common, backend), document, nil, ownerID, func() bool { return fixture.authoritative }, batcher.DefaultSettings())
		fixture.owner.SetMembers(map[string]bool{ownerID: true}, 1)

		servers, stops := sync.WaitGroup{}, []func() error{}
		for name, handler := range map[string]http.Handler{"server-1": gatedServer, ownerAddress: inquirer.NewServer(common, fixture.owner.Librarian)} {
			web := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
			listener := fixture.network.Listen(name)
			if name == ownerAddress {
				fixture.listener = listener
			}

			stops = append(stops, web.Close)

			servers.Go(func() { _ = web.Serve(listener) })
		}

		ctx, cancel := context.WithCancel(context.Background())
		servers.Go(func() { fixture.owner.Run(ctx) })

		transport := &http.Transport{DialContext: func(ctx context.Context, network, target string) (net.Conn, error) {
			host, _, err := net.SplitHostPort(target)
			require.NoError(t, err)

			return fixture.network.DialContext(ctx, network, host)
		}}
		fixture.asker = inquirer.NewInquirer(kernel.NewDiscardCommon("gateway-2"), &http.Client{Transport: transport})
		fixture.asker.SetMembers(map[string]string{ownerID: ownerAddress + ":80"})

		synctest.Wait()

		now := time.Now()
		require.Equal(t, bookkeeper.OK, fixture.owner.Submit(ctx, bookkeeper.Job{
			ID: jobID, Host: "host", Submitted: now, Due: now.Add(time.Minute), GiveUp: now.Add(time.Minute),
			Items: []bookkeeper.Item{{ID: "item-1", Target: "/x"}},
		}))

		test(fixture)

		select {
		case <-fixture.itemMayFinish:
		default:
			close(fixture.itemMayFinish)
		}

		cancel()
		fixture.network.Close()
		transport.CloseIdleConnections()

		for _, stop := range stops {
			_ = stop()
		}

		servers.Wait()
		time.Sleep(time.Hour)
	})
}

// silenceOwner drops everything that is sent on an open connection to the owner.
func (fixture *fixture) silenceOwner() {
	_, complete, _ := fixture.ask(ownerID, 0)
	require.True(fixture.t, complete)
	fixture.network.DropTraffic(true, true)
}

// stopOwner closes the owner's listener and connections.
func (fixture *fixture) stopOwner() {
	require.NoError(fixture.t, fixture.listener.Close())
	fixture.network.CloseConnections(ownerAddress)
}

// ask asks a process for results. It returns the answer and how long it took.
func (fixture *fixture) ask(process string, wait time.Duration) (librarian.ResultsPage, bool, time.Duration) {
	started := time.Now()
	page, complete := fixture.asker.AskOwner(context.Background(), process, jobID, 0, wait)

	return page, complete, time.Since(started)
}

func TestAskOwner(t *testing.T) {
	for name, scenario := range map[string]struct {
		prepare  func(fixture *fixture)
		process  string
		complete bool
		results  int
		// within bounds the time of the answer to a query with a wait of a second.
		within time.Duration
	}{
		"no result":                      {func(*fixture) {}, ownerID, true, 0, time.Second + promptAnswer},
		"result during the wait":         {func(fixture *fixture) { time.AfterFunc(100*time.Millisecond, func() { close(fixture.itemMayFinish) }) }, ownerID, true, 1, 950 * time.Millisecond},
		"result before the query":        {func(fixture *fixture) { close(fixture.itemMayFinish); time.Sleep(2 * time.Second) }, ownerID, true, 1, promptAnswer},
		"owner may not know all results": {func(fixture *fixture) { fixture.authoritative = false }, ownerID, false, 0, promptAnswer},
		"process is not registered":      {func(*fixture) {}, "gateway-9#1", false, 0, promptAnswer},
		"owner has stopped":              {(*fixture).stopOwner, ownerID, false, 0, promptAnswer},
		"owner does not answer":          {(*fixture).silenceOwner, ownerID, false, 0, 1300*time.Millisecond + promptAnswer},
	} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, func(fixture *fixture) {
				scenario.prepare(fixture)

				page, complete, duration := fixture.ask(scenario.process, time.Second)
				require.Equal(t, scenario.complete, complete)
				require.Len(t, page.Results, scenario.results)
				require.LessOrEqual(t, duration, scenario.within)
			})
		})
	}
}

// While an owner does not answer, only the first reader waits for it; the others return
// at once. It is asked again later.
func TestSilentOwnerDelaysOneReader(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.silenceOwner()

		_, complete, _ := fixture.ask(ownerID, time.Second)
		require.False(t, complete)

		for range 10 {
			_, complete, duration := fixture.ask(ownerID, time.Second)
			require.False(t, complete)
			require.Zero(t, duration)
		}

		fixture.network.DropTraffic(false, false)
		time.Sleep(5 * time.Second)

		_, complete, _ = fixture.ask(ownerID, 0)
		require.True(t, complete)
	})
}
