package app

import (
	"github.com/juju/errors"

	"limpetrail/dialer"
	"limpetrail/editor"
	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/loader"
	"limpetrail/locator"
	"limpetrail/publisher"
)

func newEntryPublisher(common kernel.Common, store keeper.Store, list locator.List, connections *dialer.Dialer) *publisher.Publisher {
	return publisher.NewPublisher(common, store, publisher.WithPeers(list, publisher.NewDialedPeers(connections)))
}

func newSidecarPublisher(common kernel.Common, settings loader.Sidecar, store keeper.Store, connections *dialer.Dialer) (*publisher.Publisher, error) {
	if settings.Instances.Address == "" {
		return publisher.NewPublisher(common, store), nil
	}

	factory, err := locator.Adapters.Find(settings.Instances.Adapter)
	if err != nil {
		return nil, errors.Trace(err)
	}

	list, err := factory(common, settings.Instances.Address)
	if err != nil {
		return nil, errors.Trace(err)
	}

	return publisher.NewPublisher(common, store, publisher.WithPeers(list, publisher.NewDialedPeers(connections))), nil
}

// newEditor returns an editor whose edits are in force here at once.
func newEditor(common kernel.Common, store keeper.Store, documents *publisher.Publisher) *editor.Editor {
	return editor.NewEditor(common, store, editor.WithWritten(func(revision keeper.Revision, value []byte) {
		if _, err := documents.Take(revision, value); err != nil {
			documents.Log.WithError(err).Error("A written document is not readable.")
		}
	}))
}
