package app

import (
	"limpetrail/dialer"
	"limpetrail/editor"
	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/locator"
	"limpetrail/publisher"
)

func newPublisher(common kernel.Common, list locator.List, store keeper.Store, peerDialer *dialer.Dialer) *publisher.Publisher {
	return publisher.NewPublisher(common, store, publisher.WithPeers(list, publisher.NewDialedPeers(peerDialer)))
}

// newEditor returns an editor whose successful edits this process applies at once.
func newEditor(common kernel.Common, store keeper.Store, documents *publisher.Publisher) *editor.Editor {
	return editor.NewEditor(common, store, editor.WithRecordObserver(func(revision keeper.Revision, value []byte) {
		if _, err := documents.ApplyUpdate(revision, value); err != nil {
			documents.Log.WithError(err).Error("Document that an edit stored cannot be decoded; this process keeps the previous one.")
		}
	}))
}
