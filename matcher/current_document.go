package matcher

import (
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"limpetrail/kernel"
)

// CurrentDocument holds the configuration document in force. The document's version
// never decreases.
type CurrentDocument struct {
	kernel.Common

	mutex    sync.Mutex
	document atomic.Pointer[Document]
}

// NewCurrentDocument returns a CurrentDocument that holds no document yet.
func NewCurrentDocument(common kernel.Common) *CurrentDocument {
	return &CurrentDocument{Common: common.ForPart("matcher")}
}

// Document returns the document in force, or nil before the first one.
func (current *CurrentDocument) Document() *Document {
	return current.document.Load()
}

// Apply puts a document in force unless the present one is as new or newer.
func (current *CurrentDocument) Apply(document *Document) {
	current.mutex.Lock()
	defer current.mutex.Unlock()

	previous := current.document.Load()
	if previous != nil && previous.Version >= document.Version {
		return
	}

	current.document.Store(document)

	fields := logrus.Fields{"Version": document.Version, "Routes": len(document.Routes), "Workspaces": len(document.Workspaces)}
	if previous != nil {
		fields["Before"] = previous.Version
	}

	current.Log.WithFields(fields).Info("New configuration is in force.")
}
