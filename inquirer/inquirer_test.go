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
)

const (
	owner   = "gateway-1#1"
	address = "gateway-1"
	job     = "job-1"
	// promptly is far less than any wait here.
	promptly = 50 * time.Millisecond
)

// stage is an owner of one job of one item, and a process that asks it.
type stage struct {
	t        *testing.T
	network  *emulator.Network
	owner    *batcher.Batcher
	asker    *inquirer.Inquirer
	certain  bool
	finished chan struct{}
	listener net.Listener
}

// play runs a story in a bubble. The item ends when the story closes finished.
func play(t *testing.T, story func(stage *stage)) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		common := kernel.Discard(address)
		stage := &stage{t: t, network: emulator.NewNetwork(), certain: true, finished: make(chan struct{})}
		client := keeper.NewCatalogClient(common, emulator.NewCatalog(), keeper.DefaultSettings())
		document := matcher.NewCurrent(common)
		document.Apply(matcher.NewDocument(1, []matcher.Route{{
			Name: "batch", Host: "host", Prefix: "/", Kind: matcher.Batch, Attempts: 3, Shares: []matcher.Share{{Service: "model", Weight: 1}},
		}}, nil, matcher.Limits{}))

		places := placer.NewPlacer(common)
		places.Update([]placer.Server{{ID: "server-1", Address: "server-1", Service: "model", Places: 8}})

		server := emulator.NewEventServer("server-1", emulator.DefaultEventHeaders())
		server.Events = 2
		gate := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			<-stage.finished
			server.ServeHTTP(writer, request)
		})
		backend := emulator.NewEventBackend(exchanger.NewExchanger(common, exchanger.WithDial(stage.network.DialContext)))
		stage.owner = batcher.NewBatcher(common, client, places, backend, document, nil, owner, func() bool { return stage.certain }, batcher.DefaultSettings())
		stage.owner.SetMembers(map[string]bool{owner: true}, 1)

		serving, end := sync.WaitGroup{}, []func() error{}
		for name, handler := range map[string]http.Handler{"server-1": gate, address: inquirer.NewServer(common, stage.owner.Librarian)} {
			web := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
			listener := stage.network.Listen(name)
			if name == address {
				stage.listener = listener
			}

			end = append(end, web.Close)

			serving.Go(func() { _ = web.Serve(listener) })
		}

		ctx, cancel := context.WithCancel(context.Background())
		serving.Go(func() { stage.owner.Run(ctx) })

		transport := &http.Transport{DialContext: func(ctx context.Context, network, target string) (net.Conn, error) {
			host, _, err := net.SplitHostPort(target)
			require.NoError(t, err)

			return stage.network.DialContext(ctx, network, host)
		}}
		stage.asker = inquirer.NewInquirer(kernel.Discard("gateway-2"), &http.Client{Transport: transport})
		stage.asker.SetMembers(map[string]string{owner: address + ":80"})

		synctest.Wait()

		now := time.Now()
		require.Equal(t, bookkeeper.OK, stage.owner.Submit(ctx, bookkeeper.Job{
			ID: job, Host: "host", Submitted: now, Due: now.Add(time.Minute), GiveUp: now.Add(time.Minute),
			Items: []bookkeeper.Item{{ID: "item-1", Target: "/x"}},
		}))

		story(stage)

		select {
		case <-stage.finished:
		default:
			close(stage.finished)
		}

		cancel()
		stage.network.Close()
		transport.CloseIdleConnections()

		for _, stop := range end {
			_ = stop()
		}

		serving.Wait()
		time.Sleep(time.Hour)
	})
}

// silent lets an open connection to the owner swallow what is sent.
func (stage *stage) silent() {
	_, certain, _ := stage.asks(owner, 0)
	require.True(stage.t, certain)
	stage.network.Silence(true, true)
}

// off ends the owner's server.
func (stage *stage) off() {
	require.NoError(stage.t, stage.listener.Close())
	stage.network.Break(address)
}

// asks returns the answer and how long it took.
func (stage *stage) asks(process string, wait time.Duration) (librarian.Reading, bool, time.Duration) {
	begun := time.Now()
	reading, certain := stage.asker.Ask(context.Background(), process, job, 0, wait)

	return reading, certain, time.Since(begun)
}

func TestAnswersOfAnOwner(t *testing.T) {
	for name, scenario := range map[string]struct {
		happen  func(stage *stage)
		process string
		certain bool
		results int
		// within bounds the time of the answer to a question that waits a second.
		within time.Duration
	}{
		"nothing new":           {func(*stage) {}, owner, true, 0, time.Second + promptly},
		"a result while asked":  {func(stage *stage) { time.AfterFunc(100*time.Millisecond, func() { close(stage.finished) }) }, owner, true, 1, 950 * time.Millisecond},
		"a result before":       {func(stage *stage) { close(stage.finished); time.Sleep(2 * time.Second) }, owner, true, 1, promptly},
		"an uncertain owner":    {func(stage *stage) { stage.certain = false }, owner, false, 0, promptly},
		"an unknown process":    {func(*stage) {}, "gateway-9#1", false, 0, promptly},
		"a process that is off": {(*stage).off, owner, false, 0, promptly},
		"a silent owner":        {(*stage).silent, owner, false, 0, 1300*time.Millisecond + promptly},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(stage *stage) {
				scenario.happen(stage)

				reading, certain, took := stage.asks(scenario.process, time.Second)
				require.Equal(t, scenario.certain, certain)
				require.Len(t, reading.Results, scenario.results)
				require.LessOrEqual(t, took, scenario.within)
			})
		})
	}
}

// A silent owner keeps one reader waiting, not all of them, and is asked again
// later.
func TestSilentOwnerIsNotAskedByAll(t *testing.T) {
	play(t, func(stage *stage) {
		stage.silent()

		_, certain, _ := stage.asks(owner, time.Second)
		require.False(t, certain)

		for range 10 {
			_, certain, took := stage.asks(owner, time.Second)
			require.False(t, certain)
			require.Zero(t, took)
		}

		stage.network.Silence(false, false)
		time.Sleep(5 * time.Second)

		_, certain, _ = stage.asks(owner, 0)
		require.True(t, certain)
	})
}
