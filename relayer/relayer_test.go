package relayer_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
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

// pair is a relay and the gateways that it asks, before one catalog.
type pair struct {
	relay   *relayer.Relay
	catalog *emulator.Catalog
	copied  []keeper.Item
}

func newPair(t *testing.T) *pair {
	t.Helper()

	pair := &pair{catalog: emulator.NewCatalog()}
	server := httptest.NewServer(relayer.NewServer(kernel.Discard("other"), pair.catalog, func(string) ([]keeper.Item, keeper.Revision, bool) {
		return pair.copied, 7, pair.copied != nil
	}))
	t.Cleanup(server.Close)

	// Two processes are gone; the third one is asked in their place.
	pair.relay = relayer.NewRelay(kernel.Discard("entry"), []string{"127.0.0.1:1", "127.0.0.1:2", strings.TrimPrefix(server.URL, "http://")})

	return pair
}

// All that a Catalog does comes through a relay unchanged.
func TestCallsThroughAnotherGateway(t *testing.T) {
	pair := newPair(t)
	ctx := t.Context()

	lease, duration, err := pair.relay.Grant(ctx, time.Minute)
	require.NoError(t, err)
	require.Equal(t, time.Minute, duration)

	committed, err := pair.relay.Transact(ctx, keeper.Transaction{
		Conditions: []keeper.Condition{{Key: "p/key"}},
		Puts:       []keeper.Put{{Key: "p/key", Value: []byte{0, 255}, Lease: lease}},
	})
	require.NoError(t, err)
	require.Equal(t, keeper.WriteApplied, committed.Applied)

	item, err := pair.relay.Get(ctx, "p/key")
	require.NoError(t, err)
	require.Equal(t, keeper.Item{Key: "p/key", Value: []byte{0, 255}, Revision: committed.Revision, Created: committed.Revision, Lease: lease}, item)

	page, err := pair.relay.Range(ctx, "p/", "", false)
	require.NoError(t, err)
	require.Equal(t, []keeper.Item{item}, page.Items)

	changes, err := pair.relay.Watch(ctx, "p/", committed.Revision-1, time.Second)
	require.NoError(t, err)
	require.Equal(t, item, changes.Events[0].Item)

	refused, err := pair.relay.Transact(ctx, keeper.Transaction{Conditions: []keeper.Condition{{Key: "p/key"}}})
	require.NoError(t, err)
	require.Equal(t, keeper.WriteRefused, refused.Applied)
	require.Equal(t, []keeper.Item{item}, refused.Present)

	require.NoError(t, pair.relay.Renew(ctx, lease))
	require.NoError(t, pair.relay.Revoke(ctx, lease))
	require.True(t, errors.Is(pair.relay.Renew(ctx, lease), keeper.ErrLeaseEnded))

	pair.catalog.Compact()

	_, err = pair.relay.Watch(ctx, "p/", 1, time.Second)
	require.True(t, errors.Is(err, keeper.ErrCompacted))
}

// What is known of a write comes through as it is.
func TestFateOfARelayedWrite(t *testing.T) {
	transaction := keeper.Transaction{Conditions: []keeper.Condition{{Key: "key"}}, Puts: []keeper.Put{{Key: "key"}}}

	for name, scenario := range map[string]struct {
		switches emulator.Switches
		applied  keeper.Applied
	}{
		"turned away there too":     {emulator.Switches{Outage: true}, keeper.WriteRefused},
		"its answer was lost there": {emulator.Switches{DropAnswers: 1}, keeper.WriteUnknown},
		"the other way is silent":   {emulator.Switches{Freeze: true}, keeper.WriteUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			pair := newPair(t)
			pair.catalog.Faults.Set(scenario.switches)

			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()

			committed, err := pair.relay.Transact(ctx, transaction)
			require.Error(t, err)
			require.Equal(t, scenario.applied, committed.Applied)
			pair.catalog.Faults.Set(emulator.Switches{})
		})
	}
}

// A transaction without a condition could take effect twice.
func TestUnconditionalWriteIsNotRelayed(t *testing.T) {
	committed, err := newPair(t).relay.Transact(t.Context(), keeper.Transaction{Puts: []keeper.Put{{Key: "key"}}})
	require.Error(t, err)
	require.Equal(t, keeper.WriteRefused, committed.Applied)
}

func TestCopyOfAnotherGateway(t *testing.T) {
	pair := newPair(t)

	_, err := pair.relay.Copy(t.Context(), "op/")
	require.Error(t, err)

	pair.copied = []keeper.Item{{Key: "op/config", Value: []byte("x"), Revision: 3}}

	page, err := pair.relay.Copy(t.Context(), "op/")
	require.NoError(t, err)
	require.Equal(t, keeper.Page{Items: pair.copied, Revision: 7}, page)
}

// The load: a start while the service is away, and the first process that answers
// was away itself until a moment ago. What is gone by now is not used again.
func TestNewestCopyIsUsed(t *testing.T) {
	answered := make(chan struct{}, 1)
	serve := func(revision keeper.Revision, before func(context.Context), after func()) string {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			before(request.Context())

			relayer.NewServer(kernel.Discard("other"), emulator.NewCatalog(), func(string) ([]keeper.Item, keeper.Revision, bool) {
				return []keeper.Item{{Key: "op/config", Revision: revision}}, revision, true
			}).ServeHTTP(writer, request)
			after()
		}))
		t.Cleanup(server.Close)

		return strings.TrimPrefix(server.URL, "http://")
	}

	stale := serve(5, func(context.Context) {}, func() { answered <- struct{}{} })
	current := serve(9, func(ctx context.Context) {
		select {
		case <-answered:
		case <-ctx.Done():
		}
	}, func() {})
	relay := relayer.NewRelay(kernel.Discard("entry"), []string{stale, "127.0.0.1:1", current})

	page, err := relay.Copy(t.Context(), "op/")
	require.NoError(t, err)
	require.Equal(t, keeper.Revision(9), page.Revision)
}

// A holder keeps the newest copy of each prefix over its restarts.
func TestCopiesOnADisk(t *testing.T) {
	path := t.TempDir()
	open := func() *relayer.Copies {
		folder, err := archiver.NewFolder(path, 0)
		require.NoError(t, err)

		copies, err := relayer.NewCopies(kernel.Discard("holder"), folder)
		require.NoError(t, err)

		return copies
	}
	page := func(revision keeper.Revision, value string) keeper.Page {
		return keeper.Page{Items: []keeper.Item{{Key: "op/config", Value: []byte(value), Revision: revision}}, Revision: revision}
	}

	copies := open()
	_, _, found := copies.Shown("op/")
	require.False(t, found)

	for _, step := range []struct {
		revision keeper.Revision
		value    string
		shown    string
	}{{5, "five", "five"}, {4, "four", "five"}, {5, "other", "five"}, {8, "eight", "eight"}} {
		require.NoError(t, copies.Put(relayer.Copy{Prefix: "op/", Page: page(step.revision, step.value)}))
		require.NoError(t, copies.Put(relayer.Copy{Prefix: "servers/", Page: keeper.Page{Revision: 1}}))

		for _, read := range []*relayer.Copies{copies, open()} {
			items, _, found := read.Shown("op/")
			require.True(t, found)
			require.Equal(t, step.shown, string(items[0].Value))
		}
	}
}

// The load: a change that many gateways see at one moment. Each of them sending
// it to each holder makes the traffic grow with the square of the fleet.
func TestHoldersGetACopyOnce(t *testing.T) {
	const gateways = 20

	folder, err := archiver.NewFolder(t.TempDir(), 0)
	require.NoError(t, err)

	copies, err := relayer.NewCopies(kernel.Discard("holder"), folder)
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
	told := make(chan struct{})
	asked := sync.WaitGroup{}
	asked.Add(gateways)

	for range gateways {
		sharer := relayer.NewSharer(kernel.Discard("gateway"))
		sharer.SetHolders([]string{strings.TrimPrefix(server.URL, "http://")})
		running.Go(func() { sharer.Run(ctx) })
		running.Go(func() {
			<-told
			sharer.Share("op/", []keeper.Item{{Key: "op/config", Revision: 3}}, 3)
			require.Eventually(t, func() bool { return !sharer.Waiting() }, 10*time.Second, time.Millisecond)
			asked.Done()
		})
	}

	close(told)
	asked.Wait()
	cancel()
	running.Wait()

	_, revision, _ := copies.Shown("op/")
	require.EqualValues(t, 3, revision)
	require.EqualValues(t, 1, sent.Load())
}

// Holders get the newest copies, also those that come later.
func TestHoldersGetCopies(t *testing.T) {
	holders := []*relayer.Copies{}
	addresses := []string{}

	for range 2 {
		folder, err := archiver.NewFolder(t.TempDir(), 0)
		require.NoError(t, err)

		copies, err := relayer.NewCopies(kernel.Discard("holder"), folder)
		require.NoError(t, err)

		server := httptest.NewServer(copies)
		t.Cleanup(server.Close)

		holders = append(holders, copies)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}

	sharer := relayer.NewSharer(kernel.Discard("gateway"))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})

	go func() {
		sharer.Run(ctx)
		close(done)
	}()

	sharer.SetHolders(addresses[:1])
	sharer.Share("op/", []keeper.Item{{Key: "op/config", Revision: 3}}, 3)
	require.Eventually(t, func() bool { _, revision, _ := holders[0].Shown("op/"); return revision == 3 }, 10*time.Second, time.Millisecond)

	sharer.SetHolders(addresses)
	require.Eventually(t, func() bool { _, revision, _ := holders[1].Shown("op/"); return revision == 3 }, 10*time.Second, time.Millisecond)
	cancel()
	<-done
}

// A holder that was out of reach, or could not write, gets the copy once it can.
func TestHolderGetsTheCopyLater(t *testing.T) {
	folder, err := archiver.NewFolder(t.TempDir(), 0)
	require.NoError(t, err)

	copies, err := relayer.NewCopies(kernel.Discard("holder"), folder)
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

	sharer := relayer.NewSharer(kernel.Discard("gateway"))
	ctx, cancel := context.WithCancel(context.Background())
	running := sync.WaitGroup{}
	running.Go(func() { sharer.Run(ctx) })

	sharer.SetHolders([]string{strings.TrimPrefix(server.URL, "http://")})
	sharer.Share("op/", []keeper.Item{{Key: "op/config", Revision: 3}}, 3)
	require.Eventually(t, func() bool { _, revision, _ := copies.Shown("op/"); return revision == 3 }, 20*time.Second, time.Millisecond)
	cancel()
	running.Wait()
}

// The load: many gateways that offer one copy before the first has sent it.
func TestHolderAsksOneGatewayForACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		folder, err := archiver.NewFolder(t.TempDir(), 0)
		require.NoError(t, err)

		copies, err := relayer.NewCopies(kernel.Discard("holder"), folder)
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

		// The first one was killed before it sent the copy.
		time.Sleep(time.Second)
		require.Equal(t, http.StatusNotFound, offer())
		require.NoError(t, copies.Put(relayer.Copy{Prefix: "s/", Page: keeper.Page{Revision: 4}}))
		require.Equal(t, http.StatusNoContent, offer())
	})
}

// The load: a long list that changes all the time, seen by gateways of which
// each has come to another revision.
func TestHolderTakesCopiesAtARate(t *testing.T) {
	const (
		offers   = 200
		interval = 50 * time.Millisecond
		// rate is the stated bound, in bytes a second.
		rate = 256 << 10
	)

	synctest.Test(t, func(t *testing.T) {
		folder, err := archiver.NewFolder(t.TempDir(), 0)
		require.NoError(t, err)

		copies, err := relayer.NewCopies(kernel.Discard("holder"), folder)
		require.NoError(t, err)

		value := bytes.Repeat([]byte("x"), 200<<10)
		taken, largest := 0, 0

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

			taken, largest = taken+len(encoded), max(largest, len(encoded))

			answer = httptest.NewRecorder()
			copies.ServeHTTP(answer, httptest.NewRequestWithContext(t.Context(), http.MethodPost, relayer.PathCopies, bytes.NewReader(encoded)))
			require.Equal(t, http.StatusOK, answer.Code)

			return answer.Code
		}

		for number := range offers {
			offer(1 + number)
			time.Sleep(interval)
		}

		length := offers * interval
		require.LessOrEqual(t, taken, int(rate*length.Seconds())+largest)

		// The last one is taken in the end.
		for offer(offers) != http.StatusNoContent {
			require.Less(t, time.Duration(0), length)
			time.Sleep(interval)
			length -= interval
		}
	})
}
