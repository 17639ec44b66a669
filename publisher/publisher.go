package publisher

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"

	"limpetrail/editor"
	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/recorder"
)

const (
	watchDuration = 30 * time.Second
	retryPause    = time.Second
)

// Publisher holds the document in force at this process.
type Publisher struct {
	kernel.Common
	Store keeper.Store

	mutex sync.RWMutex
	// current only ever rises in revision.
	current Snapshot
}

// NewPublisher returns a publisher with an empty document in force.
func NewPublisher(common kernel.Common, store keeper.Store) *Publisher {
	return &Publisher{
		Common:  common.ForPart("publisher"),
		Store:   store,
		current: Snapshot{Index: editor.NewIndex(&editor.Document{})},
	}
}

// Current returns the document in force.
func (publisher *Publisher) Current() Snapshot {
	publisher.mutex.RLock()
	defer publisher.mutex.RUnlock()

	return publisher.current
}

// Take brings a document into force if its revision is higher.
func (publisher *Publisher) Take(revision keeper.Revision, value []byte) (bool, error) {
	document := &editor.Document{}
	if err := json.Unmarshal(value, document); err != nil {
		return false, errors.Annotatef(err, "document of revision %d", revision)
	}

	publisher.mutex.Lock()
	defer publisher.mutex.Unlock()

	if revision <= publisher.current.Revision {
		return false, nil
	}

	publisher.current = Snapshot{Revision: revision, Index: editor.NewIndex(document)}
	publisher.Recorder.Record(recorder.Event{Part: "publisher", Kind: recorder.KindApplied, Details: []string{"Revision=" + formatRevision(revision)}})
	publisher.Log.WithField("Revision", revision).Info("Document in force.")

	return true, nil
}

// Run follows the document until the context ends.
func (publisher *Publisher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := publisher.poll(ctx); err != nil && ctx.Err() == nil {
			publisher.Log.WithError(err).Warn("No word from the key-value service.")
			pause(ctx, retryPause)
		}
	}
}

func (publisher *Publisher) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, watchDuration)
	defer cancel()

	entry, err := publisher.Store.Watch(ctx, DocumentKey, publisher.Current().Revision)
	if err != nil {
		return errors.Trace(err)
	}

	if entry.Revision <= publisher.Current().Revision {
		return nil
	}

	_, err = publisher.Take(entry.Revision, entry.Value)

	return errors.Trace(err)
}

func pause(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}
