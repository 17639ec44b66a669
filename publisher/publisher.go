package publisher

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/juju/errors"

	"limpetrail/editor"
	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/locator"
	"limpetrail/recorder"
)

// Publisher holds the document that this process applies, and exchanges it with
// peers.
type Publisher struct {
	kernel.Common
	Settings Settings
	Store    keeper.Store
	// List and Peers are nil in a process without peers; it watches the key-value
	// service itself.
	List  locator.List
	Peers Peers

	members *membership
	// changed signals that a new revision was applied; it buffers one signal.
	changed chan struct{}

	mutex sync.RWMutex
	// current never changes to a lower revision.
	current Snapshot
	// requestedRevision is the highest revision that a peer was asked to send. Until
	// requestExpires no other peer is asked for it or a lower one.
	requestedRevision keeper.Revision
	requestExpires    time.Time
}

// Option configures a Publisher.
type Option func(*Publisher)

// WithPeers makes the process exchange the document with the instances on the list.
func WithPeers(list locator.List, peers Peers) Option {
	return func(publisher *Publisher) {
		publisher.List = list
		publisher.Peers = peers
	}
}

// WithSettings replaces the default settings.
func WithSettings(settings Settings) Option {
	return func(publisher *Publisher) { publisher.Settings = settings }
}

// NewPublisher returns a publisher with an empty document of revision 0.
func NewPublisher(common kernel.Common, store keeper.Store, options ...Option) *Publisher {
	publisher := &Publisher{
		Common:   common.ForPart("publisher"),
		Settings: DefaultSettings(),
		Store:    store,
		changed:  make(chan struct{}, 1),
		current:  Snapshot{Index: editor.NewIndex(&editor.Document{})},
	}
	for _, option := range options {
		option(publisher)
	}

	publisher.members = &membership{
		list:         publisher.List,
		instance:     common.Instance,
		dataCentre:   common.DataCentre,
		watcherCount: publisher.Settings.Watchers,
	}

	return publisher
}

// Current returns the document that this process applies.
func (publisher *Publisher) Current() Snapshot {
	publisher.mutex.RLock()
	defer publisher.mutex.RUnlock()

	return publisher.current
}

// ApplyUpdate applies a value from the key-value service if its revision is higher than
// the current one, and returns whether it did.
func (publisher *Publisher) ApplyUpdate(revision keeper.Revision, value []byte) (bool, error) {
	record, err := editor.DecodeRecord(value)
	if err != nil {
		return false, errors.Annotatef(err, "document of revision %d", revision)
	}

	packed, err := pack(&record.Document)
	if err != nil {
		return false, errors.Trace(err)
	}

	return publisher.applyDocument(revision, &record.Document, packed), nil
}

// applyPacked applies a document from a peer if its revision is higher than the
// current one.
func (publisher *Publisher) applyPacked(revision keeper.Revision, packed []byte) error {
	document, err := unpack(packed)
	if err != nil {
		return errors.Annotatef(err, "document of revision %d from a peer", revision)
	}

	publisher.applyDocument(revision, document, packed)

	return nil
}

func (publisher *Publisher) applyDocument(revision keeper.Revision, document *editor.Document, packed []byte) bool {
	next := Snapshot{Revision: revision, Index: editor.NewIndex(document), packed: packed}

	publisher.mutex.Lock()
	defer publisher.mutex.Unlock()

	if revision <= publisher.current.Revision {
		return false
	}

	publisher.current = next
	publisher.Recorder.Record(recorder.Event{Part: "publisher", Kind: recorder.KindApplied, Details: []string{fmt.Sprintf("Revision=%d", revision)}})
	publisher.Log.WithField("Revision", revision).Info("Applied a new revision of the configuration document.")

	select {
	case publisher.changed <- struct{}{}:
	default:
	}

	return true
}

// startRequest returns whether to ask a peer for the document of a revision that
// it has. Only one peer is asked at a time, because many have the same new revision
// at once.
func (publisher *Publisher) startRequest(revision keeper.Revision) bool {
	publisher.mutex.Lock()
	defer publisher.mutex.Unlock()

	if revision <= publisher.current.Revision {
		return false
	}

	if revision <= publisher.requestedRevision && time.Now().Before(publisher.requestExpires) {
		return false
	}

	publisher.requestedRevision = revision
	publisher.requestExpires = time.Now().Add(publisher.Settings.Offer)

	return true
}

// Run receives and distributes the document until the context ends.
func (publisher *Publisher) Run(ctx context.Context) {
	if publisher.Peers != nil {
		publisher.fetchInitial(ctx)
	}

	group := sync.WaitGroup{}
	defer group.Wait()

	group.Go(func() { publisher.followStore(ctx) })

	if publisher.Peers != nil {
		group.Go(func() { publisher.push(ctx) })
		group.Go(func() { publisher.pull(ctx) })
		group.Go(func() { publisher.refreshMembership(ctx) })
	}
}
