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

// cluster is an emulated key-value service, a segment store and entries, all in one
// synctest bubble.
type cluster struct {
	t            *testing.T
	store        *emulator.Store
	segmentStore *memorySegmentStore
	ledger       *scheduler.Ledger
	// settings apply to entries that are started later.
	settings scheduler.Settings
}

func newCluster(t *testing.T) *cluster {
	t.Helper()

	store := emulator.NewStore()
	ledger := scheduler.NewLedger(store)
	ledger.ShardCount = 1

	settings := scheduler.DefaultSettings()
	// Even a single result is committed after CommitInterval.
	settings.CommitLeast = 1

	return &cluster{t: t, store: store, segmentStore: &memorySegmentStore{segments: map[string][]byte{}}, ledger: ledger, settings: settings}
}

// testEntry is one entry with its own access to the key-value service.
type testEntry struct {
	*scheduler.Server
	cluster *cluster
	gate    *gatedStore
	stop    context.CancelFunc
}

// startEntry starts an entry.
func (cluster *cluster) startEntry(name string) *testEntry {
	cluster.t.Helper()

	gate := &gatedStore{Store: cluster.store, unblocked: make(chan struct{})}
	close(gate.unblocked)

	ledger := scheduler.NewLedger(gate)
	ledger.ShardCount = cluster.ledger.ShardCount
	owner := scheduler.NewScheduler(kernel.NewDiscardCommon(name), ledger, cluster.segmentStore, scheduler.WithSettings(cluster.settings))

	ctx, cancel := context.WithCancel(cluster.t.Context())
	go owner.Run(ctx)

	cluster.t.Cleanup(cancel)
	synctest.Wait()

	return &testEntry{Server: scheduler.NewServer(owner), cluster: cluster, gate: gate, stop: cancel}
}

// kill stops an entry, whose calls to the key-value service fail from now on.
func (entry *testEntry) kill() {
	entry.gate.kill()
	entry.stop()
}

// submit creates a job with the idempotency key.
func (cluster *cluster) submit(key string, items int, change func(*scheduler.Record)) scheduler.Record {
	cluster.t.Helper()

	record, err := cluster.ledger.CreateJob(cluster.t.Context(), cluster.newRecord(key, items, change))
	require.NoError(cluster.t, err)
	// The owner may have read the index entry before the record was written, and
	// checks again after a second.
	time.Sleep(3 * time.Second)

	return record
}

// newRecord writes an input file and returns the record of a job with it.
func (cluster *cluster) newRecord(key string, items int, change func(*scheduler.Record)) scheduler.Record {
	cluster.t.Helper()

	lines := strings.Builder{}
	for index := range items {
		fmt.Fprintf(&lines, `{"custom_id":"%s-%d","url":"/v1/completions","body":{"model":"briefing","max_tokens":4,"prompt":%q}}`+"\n", key, index, prompt(key, index))
	}

	file := scheduler.File{ID: "file-" + key + "-" + scheduler.NewUniqueID(), Firm: "kilimanjaro", Items: items}
	if items <= 1000 {
		file.Inline = archiver.Compress([]byte(lines.String()))
	} else {
		name, err := cluster.segmentStore.Put(cluster.t.Context(), "", []byte(lines.String()))
		require.NoError(cluster.t, err)

		file.Segments = []scheduler.Segment{{Name: name, Items: items}}
	}

	require.NoError(cluster.t, cluster.ledger.CreateFile(cluster.t.Context(), file))

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

// prompt returns the prompt of an item. With the key "faulty", item 7 crashes its
// engine and item 11 cannot be completed.
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

// pull pulls items for a sidecar.
func (entry *testEntry) pull(sidecar string, limit int) []*messenger.Item {
	entry.cluster.t.Helper()

	reply, err := entry.Pull(entry.cluster.t.Context(), &messenger.PullRequest{Instance: sidecar, Service: "briefing", Limit: uint32(limit)})
	require.NoError(entry.cluster.t, err)

	return reply.GetItems()
}

// complete reports the items with the fate. It does not check the reply.
func (entry *testEntry) complete(sidecar string, fate messenger.Fate, body string, items ...*messenger.Item) (*messenger.CompleteReply, error) {
	request := &messenger.CompleteRequest{Instance: sidecar}
	for _, item := range items {
		request.Results = append(request.Results, &messenger.ItemResult{
			JobId: item.GetJobId(), Index: item.GetIndex(), Fate: fate, Body: []byte(body),
		})
	}

	return entry.Complete(entry.cluster.t.Context(), request)
}

// answer reports the items as answered.
func (entry *testEntry) answer(sidecar, body string, items ...*messenger.Item) {
	entry.cluster.t.Helper()

	_, err := entry.complete(sidecar, messenger.Fate_FATE_ANSWERED, body, items...)
	require.NoError(entry.cluster.t, err)
}

// readRecord returns the record of a job.
func (cluster *cluster) readRecord(id string) scheduler.Record {
	cluster.t.Helper()

	record, _, err := cluster.ledger.Job(cluster.t.Context(), id)
	require.NoError(cluster.t, err)

	return record
}

// results returns the recorded results by item. It fails if an item has two
// results or one that the record does not list.
func (cluster *cluster) results(id string) map[int]scheduler.Result {
	cluster.t.Helper()

	found := map[int]scheduler.Result{}
	record := cluster.readRecord(id)

	err := scheduler.ReadResults(cluster.t.Context(), cluster.segmentStore, record, func(results []scheduler.Result) error {
		for _, result := range results {
			if _, duplicate := found[result.Index]; duplicate {
				return errors.Errorf("two results of item %d", result.Index)
			}

			if !record.Done.Has(result.Index) {
				return errors.Errorf("result of item %d is not in Done", result.Index)
			}

			found[result.Index] = result
		}

		return nil
	})
	require.NoError(cluster.t, err)
	require.Len(cluster.t, found, record.Done.Count())

	return found
}

// gatedStore is one entry's access to the key-value service. Tests can block its calls
// or make them fail.
type gatedStore struct {
	keeper.Store

	mutex sync.Mutex
	// unblocked is closed while calls pass.
	unblocked chan struct{}
	killed    bool
	// leasesUnblocked, if set, blocks lease calls until it is closed.
	leasesUnblocked chan struct{}
}

// freeze blocks all calls until thaw, as in a process that is stopped by SIGSTOP.
func (gate *gatedStore) freeze() {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()

	gate.unblocked = make(chan struct{})
}

func (gate *gatedStore) thaw() {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()

	close(gate.unblocked)
}

func (gate *gatedStore) kill() {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()

	gate.killed = true
}

// wait blocks while the store is frozen, and returns an error once it is killed.
func (gate *gatedStore) wait() error {
	gate.mutex.Lock()
	open := gate.unblocked
	gate.mutex.Unlock()
	<-open

	gate.mutex.Lock()
	defer gate.mutex.Unlock()

	if gate.killed {
		return errors.New("the process was killed")
	}

	return nil
}

func (gate *gatedStore) Get(ctx context.Context, key string) (keeper.Entry, error) {
	if err := gate.wait(); err != nil {
		return keeper.Entry{}, err
	}

	return gate.Store.Get(ctx, key)
}

func (gate *gatedStore) CompareAndSwap(ctx context.Context, key string, revision keeper.Revision, value []byte) (keeper.Entry, keeper.WriteOutcome, error) {
	if err := gate.wait(); err != nil {
		return keeper.Entry{}, keeper.WriteUnknown, err
	}

	return gate.Store.CompareAndSwap(ctx, key, revision, value)
}

func (gate *gatedStore) Acquire(ctx context.Context, key, holder string, duration time.Duration) (keeper.Lease, error) {
	if err := gate.wait(); err != nil {
		return keeper.Lease{}, err
	}

	if gate.leasesUnblocked != nil {
		<-gate.leasesUnblocked
	}

	return gate.Store.Acquire(ctx, key, holder, duration)
}

func (gate *gatedStore) Watch(ctx context.Context, key string, above keeper.Revision) (keeper.Entry, error) {
	if err := gate.wait(); err != nil {
		return keeper.Entry{}, err
	}

	return gate.Store.Watch(ctx, key, above)
}

// memorySegmentStore stores segments in memory.
type memorySegmentStore struct {
	mutex    sync.Mutex
	segments map[string][]byte
	bytes    int
}

func (store *memorySegmentStore) Put(_ context.Context, _ string, data []byte) (string, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()

	name := archiver.SegmentName(data)
	store.segments[name] = append([]byte{}, data...)
	store.bytes += len(data)

	return name, nil
}

func (store *memorySegmentStore) Get(_ context.Context, name, _ string) ([]byte, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()

	data, found := store.segments[name]
	if !found {
		return nil, errors.NotFoundf("segment %s", name)
	}

	return data, nil
}

func (store *memorySegmentStore) Repair(context.Context, string, string) error { return nil }
