package publisher_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"limpetrail/editor"
	"limpetrail/emulator"
	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/locator"
	"limpetrail/messenger"
	"limpetrail/publisher"
)

const (
	dataCentres = 8
	// maxSpreadTime is the target for a change to reach every process.
	maxSpreadTime  = 5 * time.Second
	localDelay     = 500 * time.Microsecond
	maxRemoteDelay = 30 * time.Millisecond
)

// member is one process of a simulated fleet.
type member struct {
	instance  locator.Instance
	publisher *publisher.Publisher
	server    *publisher.DocumentServer
	stop      context.CancelFunc
	// silent drops every message to and from the process.
	silent atomic.Bool
	// received counts the requests from peers.
	received atomic.Int64
	// highest is the last revision observed at the process, which must never fall.
	highest keeper.Revision
}

// fleet is a set of publishers that exchange messages in memory.
type fleet struct {
	t     *testing.T
	store *countingStore

	mutex   sync.RWMutex
	members map[string]*member

	messages atomic.Int64
	bytes    atomic.Int64
	// documents counts the messages that contain the document.
	documents atomic.Int64
	// partitioned drops messages between the two regions. The key-value service is
	// in the region of the first data centres.
	partitioned atomic.Bool
}

// countingStore counts every call, also those that fail.
type countingStore struct {
	*emulator.Store
	calls atomic.Int64
}

func (store *countingStore) Get(ctx context.Context, key string) (keeper.Entry, error) {
	store.calls.Add(1)

	return store.Store.Get(ctx, key)
}

func (store *countingStore) Watch(ctx context.Context, key string, above keeper.Revision) (keeper.Entry, error) {
	store.calls.Add(1)

	return store.Store.Watch(ctx, key, above)
}

func newFleet(t *testing.T, processes int) *fleet {
	t.Helper()

	fleet := &fleet{t: t, store: &countingStore{Store: emulator.NewStore()}, members: map[string]*member{}}
	for number := range processes {
		name := fmt.Sprintf("instance-%04d", number)
		fleet.members[name] = &member{instance: locator.Instance{Name: name, Address: name, DataCentre: fmt.Sprintf("dc-%d", number%dataCentres)}}
	}

	return fleet
}

// start starts or restarts the processes of a data centre, or all processes for
// an empty name.
func (fleet *fleet) start(dataCentre string) {
	for _, member := range fleet.membersIn(dataCentre) {
		ctx, stop := context.WithCancel(fleet.t.Context())
		common := kernel.NewDiscardCommon(member.instance.Name)
		common.DataCentre = member.instance.DataCentre

		fleet.mutex.Lock()
		member.publisher = publisher.NewPublisher(common, regionStore{fleet.store, fleet, member}, publisher.WithPeers(fleet, link{fleet, member}))
		member.server = publisher.NewDocumentServer(member.publisher)
		member.stop = stop
		member.highest = 0
		fleet.mutex.Unlock()

		go member.publisher.Run(ctx)
	}
}

func (fleet *fleet) stop(dataCentre string) {
	for _, member := range fleet.membersIn(dataCentre) {
		member.stop()
	}
}

func (fleet *fleet) membersIn(dataCentre string) []*member {
	found := []*member{}

	for _, member := range fleet.members {
		if dataCentre == "" || member.instance.DataCentre == dataCentre {
			found = append(found, member)
		}
	}

	return found
}

// Instances implements locator.List.
func (fleet *fleet) Instances(context.Context) ([]locator.Instance, error) {
	instances := []locator.Instance{}
	for _, member := range fleet.members {
		instances = append(instances, member.instance)
	}

	return instances, nil
}

// link carries the messages of one process.
type link struct {
	fleet *fleet
	from  *member
}

// Exchange implements publisher.Peers.
func (link link) Exchange(ctx context.Context, address string, request *messenger.DocumentRequest) (*messenger.DocumentReply, error) {
	fleet, target := link.fleet, link.fleet.members[address]
	fleet.count(proto.Size(request), len(request.GetDocument()))

	if err := link.deliver(ctx, target); err != nil {
		return nil, err
	}

	fleet.mutex.RLock()
	server := target.server
	fleet.mutex.RUnlock()
	target.received.Add(1)

	reply, err := server.Document(ctx, request)
	if err != nil {
		return nil, err
	}

	fleet.count(proto.Size(reply), len(reply.GetDocument()))

	return reply, link.deliver(ctx, target)
}

// deliver waits for the latency of one message. A dropped message waits until the
// context's deadline.
func (link link) deliver(ctx context.Context, target *member) error {
	delay := localDelay
	if link.from.instance.DataCentre != target.instance.DataCentre {
		delay = time.Millisecond + rand.N(maxRemoteDelay)
	}

	separated := link.fleet.partitioned.Load() && link.from.inRemoteRegion() != target.inRemoteRegion()
	if separated || link.from.silent.Load() || target.silent.Load() {
		delay = time.Hour
	}

	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

func (fleet *fleet) count(size, document int) {
	fleet.messages.Add(1)
	fleet.bytes.Add(int64(size))

	if document > 0 {
		fleet.documents.Add(1)
	}
}

// write changes the document as a process that dies right afterwards: only the
// watchers can learn of the change.
func (fleet *fleet) write(share int) keeper.Revision {
	fleet.t.Helper()

	value, err := json.Marshal(editor.Document{Firms: []editor.Firm{{Name: "north", Share: share}}})
	require.NoError(fleet.t, err)

	entry, err := fleet.store.Store.Get(fleet.t.Context(), publisher.DocumentKey)
	require.NoError(fleet.t, err)
	entry, outcome, err := fleet.store.CompareAndSwap(fleet.t.Context(), publisher.DocumentKey, entry.Revision, value)
	require.NoError(fleet.t, err)
	require.Equal(fleet.t, keeper.WriteApplied, outcome)

	return entry.Revision
}

// await waits until every process that is not silent has applied the revision,
// for at most a minute, and returns the time that it took.
func (fleet *fleet) await(revision keeper.Revision) time.Duration {
	fleet.t.Helper()

	started := time.Now()
	for !fleet.allReached(revision) && time.Since(started) < time.Minute {
		time.Sleep(10 * time.Millisecond)
	}

	return time.Since(started)
}

// allReached returns whether all processes that are not silent have applied the
// revision, and checks that no process returned to a lower one.
func (fleet *fleet) allReached(revision keeper.Revision) bool {
	all := true

	for _, member := range fleet.members {
		current := member.publisher.Current().Revision
		require.GreaterOrEqual(fleet.t, current, member.highest, "a process returned to a lower revision")
		member.highest = current
		all = all && (current >= revision || member.silent.Load())
	}

	return all
}

// counts are totals over a period.
type counts struct {
	duration  time.Duration
	messages  int64
	bytes     int64
	documents int64
	calls     int64
}

// measure returns the totals of the time while the function runs.
func (fleet *fleet) measure(run func()) counts {
	started := time.Now()
	before := counts{messages: fleet.messages.Load(), bytes: fleet.bytes.Load(), documents: fleet.documents.Load(), calls: fleet.store.calls.Load()}

	run()

	return counts{
		duration:  time.Since(started),
		messages:  fleet.messages.Load() - before.messages,
		bytes:     fleet.bytes.Load() - before.bytes,
		documents: fleet.documents.Load() - before.documents,
		calls:     fleet.store.calls.Load() - before.calls,
	}
}

// takeMaxReceived returns the most requests that any process received since the
// last call, and resets the counters.
func (fleet *fleet) takeMaxReceived() int64 {
	highest := int64(0)
	for _, member := range fleet.members {
		highest = max(highest, member.received.Swap(0))
	}

	return highest
}

// simulate runs a scenario against a started fleet with a simulated clock, and
// stops the processes afterwards.
func simulate(t *testing.T, processes int, scenario func(fleet *fleet)) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, processes)
		fleet.write(1)
		fleet.start("")
		require.Less(t, fleet.await(1), time.Minute)
		scenario(fleet)
		fleet.stop("")
	})
}
