package app

import (
	"limpetrail/dialer"
	"limpetrail/editor"
	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/locator"
	"limpetrail/publisher"
)

func newPublisher(common kernel.Common, list locator.List, store keeper.Store, connections *dialer.Dialer) *publisher.Publisher {
	return publisher.NewPublisher(common, store, publisher.WithPeers(list, publisher.NewDialedPeers(connections)))
}

// newEditor returns an editor whose edits are in force here at once.
func newEditor(common kernel.Common, store keeper.Store, documents *publisher.Publisher) *editor.Editor {
	return editor.NewEditor(common, store, editor.WithWritten(func(revision keeper.Revision, value []byte) {
		if _, err := documents.ApplyUpdate(revision, value); err != nil {
			documents.Log.WithError(err).Error("A written document is not readable.")
		}
	}))
}
