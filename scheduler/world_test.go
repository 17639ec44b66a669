package scheduler_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"limpetrail/archiver"
	"limpetrail/emulator"
	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/messenger"
	"limpetrail/scheduler"
)

// world is a key-value service, bulk data and entries in one bubble.
type world struct {
	t      *testing.T
	store  *emulator.Store
	bulk   *memoryBulk
	ledger *scheduler.Ledger
	// settings are those of entries that start from now on.
	settings scheduler.Settings
}

func newWorld(t *testing.T) *world {
	t.Helper()

	store := emulator.NewStore()
	ledger := scheduler.NewLedger(store)
	ledger.Shards = 1

	settings := scheduler.DefaultSettings()
	// Small jobs commit as fast as large ones.
	settings.CommitLeast = 1

	return &world{t: t, store: store, bulk: &memoryBulk{segments: map[string][]byte{}}, ledger: ledger, settings: settings}
}

// node is one entry.
type node struct {
	*scheduler.Server
	world *world
	gate  *gate
	stop  context.CancelFunc
}

// start runs an entry that has its own way to the key-value service.
func (world *world) start(name string) *node {
	world.t.Helper()

	gate := &gate{Store: world.store, open: make(chan struct{})}
	close(gate.open)

	ledger := scheduler.NewLedger(gate)
	ledger.Shards = world.ledger.Shards
	owner := scheduler.NewScheduler(kernel.Discard(name), ledger, world.bulk, scheduler.WithSettings(world.settings))

	ctx, cancel := context.WithCancel(world.t.Context())
	go owner.Run(ctx)

	world.t.Cleanup(cancel)
	synctest.Wait()

	return &node{Server: scheduler.NewServer(owner), world: world, gate: gate, stop: cancel}
}

// kill ends an entry without a last word to the key-value service.
func (node *node) kill() {
	node.gate.kill()
	node.stop()
}

// submit creates a job of the firm under the key.
func (world *world) submit(key string, items int, change func(*scheduler.Record)) scheduler.Record {
	world.t.Helper()

	record, err := world.ledger.Create(world.t.Context(), world.record(key, items, change))
	require.NoError(world.t, err)
	// The owner may have met the index entry before the record.
	time.Sleep(3 * time.Second)

	return record
}

// record writes a file and returns the record of a job of it.
func (world *world) record(key string, items int, change func(*scheduler.Record)) scheduler.Record {
	world.t.Helper()

	lines := strings.Builder{}
	for index := range items {
		fmt.Fprintf(&lines, `{"custom_id":"%s-%d","url":"/v1/completions","body":{"model":"briefing","max_tokens":4,"prompt":%q}}`+"\n", key, index, prompt(key, index))
	}

	file := scheduler.File{ID: "file-" + key + "-" + scheduler.NewMark(), Firm: "kilimanjaro", Items: items}
	if items <= 1000 {
		file.Inline = archiver.Compress([]byte(lines.String()))
	} else {
		name, err := world.bulk.Put(world.t.Context(), "", []byte(lines.String()))
		require.NoError(world.t, err)

		file.Segments = []scheduler.Segment{{Name: name, Items: items}}
	}

	require.NoError(world.t, world.ledger.CreateFile(world.t.Context(), file))

	record := scheduler.Record{
		ID:         scheduler.JobID("kilimanjaro", key),
		Firm:       "kilimanjaro",
		Service:    "briefing",
		Endpoint:   "/v1/completions",
		Path:       "/v1/completions",
		Idempotent: true,
		Content:    "content of " + key,
		FileID:     file.ID,
		Items:      items,
		Created:    time.Now(),
		Due:        time.Now().Add(time.Hour),
		State:      scheduler.Open,
		Done:       scheduler.NewBitmap(items),
	}
	if change != nil {
		change(&record)
	}

	return record
}

// prompt is the prompt of an item; some items of the key "faulty" misbehave.
func prompt(key string, index int) string {
	switch {
	case key == "faulty" && index == 7:
		return emulator.TextFatal
	case key == "faulty" && index == 11:
		return emulator.TextUncompletable
	default:
		return fmt.Sprintf("Notice %d", index)
	}
}

func nonIdempotent(record *scheduler.Record) { record.Idempotent = false }

// pull fetches items for a sidecar.
func (node *node) pull(sidecar string, limit int) []*messenger.Item {
	node.world.t.Helper()

	reply, err := node.Pull(node.world.t.Context(), &messenger.PullRequest{Instance: sidecar, Service: "briefing", Limit: uint32(limit)})
	require.NoError(node.world.t, err)

	return reply.GetItems()
}

// complete reports an end of each item, and asserts nothing of the answer.
func (node *node) complete(sidecar string, fate messenger.Fate, body string, items ...*messenger.Item) (*messenger.CompleteReply, error) {
	request := &messenger.CompleteRequest{Instance: sidecar}
	for _, item := range items {
		request.Results = append(request.Results, &messenger.ItemResult{
			JobId: item.GetJobId(), Index: item.GetIndex(), Fate: fate, Body: []byte(body),
		})
	}

	return node.Complete(node.world.t.Context(), request)
}

// answer reports the items as answered.
func (node *node) answer(sidecar, body string, items ...*messenger.Item) {
	node.world.t.Helper()

	_, err := node.complete(sidecar, messenger.Fate_FATE_ANSWERED, body, items...)
	require.NoError(node.world.t, err)
}

// read returns the record of a job.
func (world *world) read(id string) scheduler.Record {
	world.t.Helper()

	record, _, err := world.ledger.Job(world.t.Context(), id)
	require.NoError(world.t, err)

	return record
}

// results returns the recorded results by item, and fails on a second one.
func (world *world) results(id string) map[int]scheduler.Result {
	world.t.Helper()

	found := map[int]scheduler.Result{}
	record := world.read(id)

	err := scheduler.Results(world.t.Context(), world.bulk, record, func(results []scheduler.Result) error {
		for _, result := range results {
			if _, doubled := found[result.Index]; doubled {
				return errors.Errorf("two results of item %d", result.Index)
			}

			if !record.Done.Has(result.Index) {
				return errors.Errorf("result of item %d is not counted", result.Index)
			}

			found[result.Index] = result
		}

		return nil
	})
	require.NoError(world.t, err)
	require.Len(world.t, found, record.Done.Count())

	return found
}

// gate is one entry's way to the key-value service.
type gate struct {
	keeper.Store

	mutex sync.Mutex
	// open is closed while calls go through.
	open chan struct{}
	dead bool
	// leases, where set, holds calls about leases until it is closed.
	leases chan struct{}
}

// freeze holds every call from now on, as in a process that is stopped.
func (gate *gate) freeze() {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()

	gate.open = make(chan struct{})
}

func (gate *gate) thaw() {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()

	close(gate.open)
}

func (gate *gate) kill() {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()

	gate.dead = true
}

func (gate *gate) pass() error {
	gate.mutex.Lock()
	open := gate.open
	gate.mutex.Unlock()
	<-open

	gate.mutex.Lock()
	defer gate.mutex.Unlock()

	if gate.dead {
		return errors.New("the process is gone")
	}

	return nil
}

func (gate *gate) Get(ctx context.Context, key string) (keeper.Entry, error) {
	if err := gate.pass(); err != nil {
		return keeper.Entry{}, err
	}

	return gate.Store.Get(ctx, key)
}

func (gate *gate) CompareAndSwap(ctx context.Context, key string, revision keeper.Revision, value []byte) (keeper.Entry, keeper.Applied, error) {
	if err := gate.pass(); err != nil {
		return keeper.Entry{}, keeper.WriteUnknown, err
	}

	return gate.Store.CompareAndSwap(ctx, key, revision, value)
}

func (gate *gate) Acquire(ctx context.Context, key, holder string, duration time.Duration) (keeper.Lease, error) {
	if err := gate.pass(); err != nil {
		return keeper.Lease{}, err
	}

	if gate.leases != nil {
		<-gate.leases
	}

	return gate.Store.Acquire(ctx, key, holder, duration)
}

func (gate *gate) Watch(ctx context.Context, key string, above keeper.Revision) (keeper.Entry, error) {
	if err := gate.pass(); err != nil {
		return keeper.Entry{}, err
	}

	return gate.Store.Watch(ctx, key, above)
}

// memoryBulk keeps segments in memory.
type memoryBulk struct {
	mutex    sync.Mutex
	segments map[string][]byte
	bytes    int
}

func (bulk *memoryBulk) Put(_ context.Context, _ string, data []byte) (string, error) {
	bulk.mutex.Lock()
	defer bulk.mutex.Unlock()

	name := archiver.Name(data)
	bulk.segments[name] = append([]byte{}, data...)
	bulk.bytes += len(data)

	return name, nil
}

func (bulk *memoryBulk) Get(_ context.Context, name, _ string) ([]byte, error) {
	bulk.mutex.Lock()
	defer bulk.mutex.Unlock()

	data, found := bulk.segments[name]
	if !found {
		return nil, errors.NotFoundf("segment %s", name)
	}

	return data, nil
}

func (bulk *memoryBulk) Repair(context.Context, string, string) error { return nil }
