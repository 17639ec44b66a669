package relayer_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"limpetrail/archiver"
	"limpetrail/emulator"
	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/relayer"
)

// fixture is a relay that reaches a catalog through another gateway.
type fixture struct {
	relay     *relayer.Relay
	catalog   *emulator.Catalog
	copyItems []keeper.Item
}

func newFixture(t *testing.T) *fixture {
	t.Helper()

	fixture := &fixture{catalog: emulator.NewCatalog()}
	server := httptest.NewServer(relayer.NewServer(kernel.NewDiscardCommon("other"), fixture.catalog, func(string) ([]keeper.Item, keeper.Revision, bool) {
		return fixture.copyItems, 7, fixture.copyItems != nil
	}))
	t.Cleanup(server.Close)

	// The first two peers cannot be reached, so calls go to the third.
	fixture.relay = relayer.NewRelay(kernel.NewDiscardCommon("entry"), []string{"127.0.0.1:1", "127.0.0.1:2", strings.TrimPrefix(server.URL, "http://")})

	return fixture
}

// Each operation of a Catalog has the same results and errors through a relay.
func TestCallsThroughAnotherGateway(t *testing.T) {
	fixture := newFixture(t)
	ctx := t.Context()

	lease, duration, err := fixture.relay.Grant(ctx, time.Minute)
	require.NoError(t, err)
	require.Equal(t, time.Minute, duration)

	result, err := fixture.relay.Transact(ctx, keeper.Transaction{
		Conditions: []keeper.Condition{{Key: "p/key"}},
		Puts:       []keeper.Put{{Key: "p/key", Value: []byte{0, 255}, Lease: lease}},
	})
	require.NoError(t, err)
	require.Equal(t, keeper.WriteApplied, result.Applied)

	item, err := fixture.relay.Get(ctx, "p/key")
	require.NoError(t, err)
	require.Equal(t, keeper.Item{Key: "p/key", Value: []byte{0, 255}, Revision: result.Revision, Created: result.Revision, Lease: lease}, item)

	page, err := fixture.relay.Range(ctx, "p/", "", false)
	require.NoError(t, err)
	require.Equal(t, []keeper.Item{item}, page.Items)

	changes, err := fixture.relay.Watch(ctx, "p/", result.Revision-1, time.Second)
	require.NoError(t, err)
	require.Equal(t, item, changes.Events[0].Item)

	refused, err := fixture.relay.Transact(ctx, keeper.Transaction{Conditions: []keeper.Condition{{Key: "p/key"}}})
	require.NoError(t, err)
	require.Equal(t, keeper.WriteRefused, refused.Applied)
	require.Equal(t, []keeper.Item{item}, refused.Present)

	require.NoError(t, fixture.relay.Renew(ctx, lease))
	require.NoError(t, fixture.relay.Revoke(ctx, lease))
	require.True(t, errors.Is(fixture.relay.Renew(ctx, lease), keeper.ErrLeaseEnded))

	fixture.catalog.Compact()

	_, err = fixture.relay.Watch(ctx, "p/", 1, time.Second)
	require.True(t, errors.Is(err, keeper.ErrCompacted))
}

// A relay reports correctly whether a failed write may have been applied.
func TestRelayedWriteOutcome(t *testing.T) {
	transaction := keeper.Transaction{Conditions: []keeper.Condition{{Key: "key"}}, Puts: []keeper.Put{{Key: "key"}}}

	for name, scenario := range map[string]struct {
		switches emulator.FaultSwitches
		outcome  keeper.WriteOutcome
	}{
		"refused for the other gateway too":         {emulator.FaultSwitches{Outage: true}, keeper.WriteRefused},
		"answer to the other gateway lost":          {emulator.FaultSwitches{DropAnswers: 1}, keeper.WriteUnknown},
		"service does not answer the other gateway": {emulator.FaultSwitches{Freeze: true}, keeper.WriteUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(t)
			fixture.catalog.Faults.Set(scenario.switches)

			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()

			result, err := fixture.relay.Transact(ctx, transaction)
			require.Error(t, err)
			require.Equal(t, scenario.outcome, result.Applied)
			fixture.catalog.Faults.Set(emulator.FaultSwitches{})
		})
	}
}

// A status that is no answer counted as the other gateway's refusal, so that a write that may have been
// applied was repeated.
func TestRelayedWriteAnsweredWithAnInvalidStatus(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })

	go emulator.EarlyServer{Answer: "HTTP/1.1 600 Odd\r\nContent-Length: 0\r\n\r\n"}.Serve(listener)

	relay := newFixture(t).relay
	relay.SetPeers([]string{listener.Addr().String()})

	result, err := relay.Transact(t.Context(), keeper.Transaction{Conditions: []keeper.Condition{{Key: "key"}}, Puts: []keeper.Put{{Key: "key"}}})
	require.Error(t, err)
	require.Equal(t, keeper.WriteUnknown, result.Applied)
}

// Without a condition, a transaction could take effect twice, so it isn't relayed.
func TestUnconditionalWriteIsNotRelayed(t *testing.T) {
	result, err := newFixture(t).relay.Transact(t.Context(), keeper.Transaction{Puts: []keeper.Put{{Key: "key"}}})
	require.Error(t, err)
	require.Equal(t, keeper.WriteRefused, result.Applied)
}

func TestCopyOfAnotherGateway(t *testing.T) {
	fixture := newFixture(t)

	_, err := fixture.relay.Copy(t.Context(), "op/")
	require.Error(t, err)

	fixture.copyItems = []keeper.Item{{Key: "op/config", Value: []byte("x"), Revision: 3}}

	page, err := fixture.relay.Copy(t.Context(), "op/")
	require.NoError(t, err)
	require.Equal(t, keeper.Page{Items: fixture.copyItems, Revision: 7}, page)
}

// Guards against using servers and keys that were removed: at a start while the
// service is unavailable, the first peer that answers may have been disconnected until
// a moment ago and have an old copy.
func TestNewestCopyIsUsed(t *testing.T) {
	answered := make(chan struct{}, 1)
	serve := func(revision keeper.Revision, before func(context.Context), after func()) string {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			before(request.Context())

			relayer.NewServer(kernel.NewDiscardCommon("other"), emulator.NewCatalog(), func(string) ([]keeper.Item, keeper.Revision, bool) {
				return []keeper.Item{{Key: "op/config", Revision: revision}}, revision, true
			}).ServeHTTP(writer, request)
			after()
		}))
		t.Cleanup(server.Close)

		return strings.TrimPrefix(server.URL, "http://")
	}

	older := serve(5, func(context.Context) {}, func() { answered <- struct{}{} })
	newer := serve(9, func(ctx context.Context) {
		select {
		case <-answered:
		case <-ctx.Done():
		}
	}, func() {})
	relay := relayer.NewRelay(kernel.NewDiscardCommon("entry"), []string{older, "127.0.0.1:1", newer})

	page, err := relay.Copy(t.Context(), "op/")
	require.NoError(t, err)
	require.Equal(t, keeper.Revision(9), page.Revision)
}

// A holder keeps the newest copy of each prefix across restarts.
func TestCopiesSurviveRestart(t *testing.T) {
	path := t.TempDir()
	open := func() *relayer.Copies {
		folder, err := archiver.NewFolder(path, 0)
		require.NoError(t, err)

		copies, err := relayer.NewCopies(kernel.NewDiscardCommon("holder"), folder)
		require.NoError(t, err)

		return copies
	}
	page := func(revision keeper.Revision, value string) keeper.Page {
		return keeper.Page{Items: []keeper.Item{{Key: "op/config", Value: []byte(value), Revision: revision}}, Revision: revision}
	}

	copies := open()
	_, _, found := copies.Get("op/")
	require.False(t, found)

	for _, step := range []struct {
		revision keeper.Revision
		value    string
		stored   string
	}{{5, "five", "five"}, {4, "four", "five"}, {5, "other", "five"}, {8, "eight", "eight"}} {
		require.NoError(t, copies.Put(relayer.Copy{Prefix: "op/", Page: page(step.revision, step.value)}))
		require.NoError(t, copies.Put(relayer.Copy{Prefix: "servers/", Page: keeper.Page{Revision: 1}}))

		for _, read := range []*relayer.Copies{copies, open()} {
			items, _, found := read.Get("op/")
			require.True(t, found)
			require.Equal(t, step.stored, string(items[0].Value))
		}
	}
}

// Many gateways see a change at the same moment. If each of them sent it to each
// holder, the traffic would grow with the square of the fleet.
func TestCopyIsSentToHolderOnce(t *testing.T) {
	const gateways = 20

	folder, err := archiver.NewFolder(t.TempDir(), 0)
	require.NoError(t, err)

	copies, err := relayer.NewCopies(kernel.NewDiscardCommon("holder"), folder)
	require.NoError(t, err)

	sent := atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.Method == http.MethodPost {
			sent.Add(1)
		}

		copies.ServeHTTP(writer, request)
	}))
	t.Cleanup(server.Close)

	ctx, cancel := context.WithCancel(context.Background())
	running := sync.WaitGroup{}
	start := make(chan struct{})
	offered := sync.WaitGroup{}
	offered.Add(gateways)

	for range gateways {
		sharer := relayer.NewSharer(kernel.NewDiscardCommon("gateway"))
		sharer.SetHolders([]string{strings.TrimPrefix(server.URL, "http://")})
		running.Go(func() { sharer.Run(ctx) })
		running.Go(func() {
			<-start
			sharer.Share("op/", []keeper.Item{{Key: "op/config", Revision: 3}}, 3)
			require.Eventually(t, func() bool { return !sharer.HasPending() }, 10*time.Second, time.Millisecond)
			offered.Done()
		})
	}

	close(start)
	offered.Wait()
	cancel()
	running.Wait()

	_, revision, _ := copies.Get("op/")
	require.EqualValues(t, 3, revision)
	require.EqualValues(t, 1, sent.Load())
}

// All holders get the newest copies, also holders that are added later.
func TestHoldersGetCopies(t *testing.T) {
	holders := []*relayer.Copies{}
	addresses := []string{}

	for range 2 {
		folder, err := archiver.NewFolder(t.TempDir(), 0)
		require.NoError(t, err)

		copies, err := relayer.NewCopies(kernel.NewDiscardCommon("holder"), folder)
		require.NoError(t, err)

		server := httptest.NewServer(copies)
		t.Cleanup(server.Close)

		holders = append(holders, copies)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}

	sharer := relayer.NewSharer(kernel.NewDiscardCommon("gateway"))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})

	go func() {
		sharer.Run(ctx)
		close(done)
	}()

	sharer.SetHolders(addresses[:1])
	sharer.Share("op/", []keeper.Item{{Key: "op/config", Revision: 3}}, 3)
	require.Eventually(t, func() bool { _, revision, _ := holders[0].Get("op/"); return revision == 3 }, 10*time.Second, time.Millisecond)

	sharer.SetHolders(addresses)
	require.Eventually(t, func() bool { _, revision, _ := holders[1].Get("op/"); return revision == 3 }, 10*time.Second, time.Millisecond)
	cancel()
	<-done
}

// A copy that a holder failed to store is sent again until it succeeds.
func TestFailedCopyIsSentAgain(t *testing.T) {
	folder, err := archiver.NewFolder(t.TempDir(), 0)
	require.NoError(t, err)

	copies, err := relayer.NewCopies(kernel.NewDiscardCommon("holder"), folder)
	require.NoError(t, err)

	failures := atomic.Int64{}
	failures.Store(2)

	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.Method == http.MethodPost && failures.Add(-1) >= 0 {
			http.Error(writer, "The disk is full.", http.StatusInternalServerError)

			return
		}

		copies.ServeHTTP(writer, request)
	}))
	t.Cleanup(server.Close)

	sharer := relayer.NewSharer(kernel.NewDiscardCommon("gateway"))
	ctx, cancel := context.WithCancel(context.Background())
	running := sync.WaitGroup{}
	running.Go(func() { sharer.Run(ctx) })

	sharer.SetHolders([]string{strings.TrimPrefix(server.URL, "http://")})
	sharer.Share("op/", []keeper.Item{{Key: "op/config", Revision: 3}}, 3)
	require.Eventually(t, func() bool { _, revision, _ := copies.Get("op/"); return revision == 3 }, 20*time.Second, time.Millisecond)
	cancel()
	running.Wait()
}

// Many gateways offer the same copy before the first of them has sent it: the holder
// asks only one at a time.
func TestHolderAsksOneGatewayForACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		folder, err := archiver.NewFolder(t.TempDir(), 0)
		require.NoError(t, err)

		copies, err := relayer.NewCopies(kernel.NewDiscardCommon("holder"), folder)
		require.NoError(t, err)

		offer := func() int {
			answer := httptest.NewRecorder()
			copies.ServeHTTP(answer, httptest.NewRequestWithContext(t.Context(), http.MethodGet, relayer.PathCopies+"?prefix=s/&revision=4", nil))

			return answer.Code
		}

		require.Equal(t, http.StatusNotFound, offer())

		for range 50 {
			require.Equal(t, http.StatusTooManyRequests, offer())
		}

		// The gateway that was asked never sends the copy, so the holder asks another one.
		time.Sleep(time.Second)
		require.Equal(t, http.StatusNotFound, offer())
		require.NoError(t, copies.Put(relayer.Copy{Prefix: "s/", Page: keeper.Page{Revision: 4}}))
		require.Equal(t, http.StatusNoContent, offer())
	})
}

// A long list changes all the time and gateways offer one revision after another. The
// holder limits the bytes that it accepts, and has the last revision in the end.
func TestHolderLimitsCopyRate(t *testing.T) {
	const (
		offers   = 200
		interval = 50 * time.Millisecond
		// rate is maxCopyBytesPerSecond.
		rate = 256 << 10
	)

	synctest.Test(t, func(t *testing.T) {
		folder, err := archiver.NewFolder(t.TempDir(), 0)
		require.NoError(t, err)

		copies, err := relayer.NewCopies(kernel.NewDiscardCommon("holder"), folder)
		require.NoError(t, err)

		value := bytes.Repeat([]byte("x"), 200<<10)
		accepted, largest := 0, 0

		offer := func(revision int) int {
			answer := httptest.NewRecorder()
			copies.ServeHTTP(answer, httptest.NewRequestWithContext(t.Context(), http.MethodGet, fmt.Sprintf("%s?prefix=s/&revision=%d", relayer.PathCopies, revision), nil))

			if answer.Code != http.StatusNotFound {
				return answer.Code
			}

			encoded, err := json.Marshal(relayer.Copy{Prefix: "s/", Page: keeper.Page{
				Items: []keeper.Item{{Key: "s/a", Value: value, Revision: keeper.Revision(revision)}}, Revision: keeper.Revision(revision),
			}})
			require.NoError(t, err)

			accepted, largest = accepted+len(encoded), max(largest, len(encoded))

			answer = httptest.NewRecorder()
			copies.ServeHTTP(answer, httptest.NewRequestWithContext(t.Context(), http.MethodPost, relayer.PathCopies, bytes.NewReader(encoded)))
			require.Equal(t, http.StatusOK, answer.Code)

			return answer.Code
		}

		for number := range offers {
			offer(1 + number)
			time.Sleep(interval)
		}

		remaining := offers * interval
		require.LessOrEqual(t, accepted, int(rate*remaining.Seconds())+largest)

		// The last revision is accepted in the end.
		for offer(offers) != http.StatusNoContent {
			require.Less(t, time.Duration(0), remaining)
			time.Sleep(interval)
			remaining -= interval
		}
	})
}
