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

// Publisher holds the document in force at this process.
type Publisher struct {
	kernel.Common
	Settings Settings
	Store    keeper.Store
	// List and Peers are nil in a process that hears of no others; it watches
	// the key-value service by itself.
	List  locator.List
	Peers Peers

	members *membership
	// learned has room for one signal that a new revision is in force.
	learned chan struct{}

	mutex sync.RWMutex
	// current only ever rises in revision.
	current Snapshot
	// offered is the highest revision that a peer was asked to send; until
	// offerEnds no other peer is asked for it or a lower one.
	offered   keeper.Revision
	offerEnds time.Time
}

// Option changes a Publisher at construction.
type Option func(*Publisher)

// WithPeers makes the process exchange documents with those on the list.
func WithPeers(list locator.List, peers Peers) Option {
	return func(publisher *Publisher) {
		publisher.List = list
		publisher.Peers = peers
	}
}

// WithSettings sets how the document spreads.
func WithSettings(settings Settings) Option {
	return func(publisher *Publisher) { publisher.Settings = settings }
}

// NewPublisher returns a publisher with an empty document in force.
func NewPublisher(common kernel.Common, store keeper.Store, options ...Option) *Publisher {
	publisher := &Publisher{
		Common:   common.ForPart("publisher"),
		Settings: DefaultSettings(),
		Store:    store,
		learned:  make(chan struct{}, 1),
		current:  Snapshot{Index: editor.NewIndex(&editor.Document{})},
	}
	for _, option := range options {
		option(publisher)
	}

	publisher.members = &membership{
		list:       publisher.List,
		instance:   common.Instance,
		dataCentre: common.DataCentre,
		watchers:   publisher.Settings.Watchers,
	}

	return publisher
}

// Current returns the document in force.
func (publisher *Publisher) Current() Snapshot {
	publisher.mutex.RLock()
	defer publisher.mutex.RUnlock()

	return publisher.current
}

// Take brings a value of the key-value service into force if its revision is
// higher.
func (publisher *Publisher) Take(revision keeper.Revision, value []byte) (bool, error) {
	record, err := editor.DecodeRecord(value)
	if err != nil {
		return false, errors.Annotatef(err, "document of revision %d", revision)
	}

	packed, err := pack(&record.Document)
	if err != nil {
		return false, errors.Trace(err)
	}

	return publisher.take(revision, &record.Document, packed), nil
}

// takePacked brings a document from a peer into force if its revision is
// higher.
func (publisher *Publisher) takePacked(revision keeper.Revision, packed []byte) error {
	document, err := unpack(packed)
	if err != nil {
		return errors.Annotatef(err, "document of revision %d from a peer", revision)
	}

	publisher.take(revision, document, packed)

	return nil
}

func (publisher *Publisher) take(revision keeper.Revision, document *editor.Document, packed []byte) bool {
	next := Snapshot{Revision: revision, Index: editor.NewIndex(document), packed: packed}

	publisher.mutex.Lock()
	defer publisher.mutex.Unlock()

	if revision <= publisher.current.Revision {
		return false
	}

	publisher.current = next
	publisher.Recorder.Record(recorder.Event{Part: "publisher", Kind: recorder.KindApplied, Details: []string{fmt.Sprintf("Revision=%d", revision)}})
	publisher.Log.WithField("Revision", revision).Info("Document in force.")

	select {
	case publisher.learned <- struct{}{}:
	default:
	}

	return true
}

// want tells a peer that offers a revision whether to send the document. It
// asks one peer at a time, because many offer the same at once.
func (publisher *Publisher) want(revision keeper.Revision) bool {
	publisher.mutex.Lock()
	defer publisher.mutex.Unlock()

	if revision <= publisher.current.Revision {
		return false
	}

	if revision <= publisher.offered && time.Now().Before(publisher.offerEnds) {
		return false
	}

	publisher.offered = revision
	publisher.offerEnds = time.Now().Add(publisher.Settings.Offer)

	return true
}

// Run follows the document until the context ends.
func (publisher *Publisher) Run(ctx context.Context) {
	if publisher.Peers != nil {
		publisher.join(ctx)
	}

	group := sync.WaitGroup{}
	defer group.Wait()

	group.Go(func() { publisher.follow(ctx) })

	if publisher.Peers != nil {
		group.Go(func() { publisher.push(ctx) })
		group.Go(func() { publisher.pull(ctx) })
		group.Go(func() { publisher.meet(ctx) })
	}
}
