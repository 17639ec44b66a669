package matcher

import (
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"limpetrail/kernel"
)

// Current holds the configuration document in force. Its version never decreases.
type Current struct {
	kernel.Common

	mutex    sync.Mutex
	document atomic.Pointer[Document]
}

// NewCurrent returns a Current without a document.
func NewCurrent(common kernel.Common) *Current {
	return &Current{Common: common.ForPart("matcher")}
}

// Document returns the document in force, or nil before the first one.
func (current *Current) Document() *Document {
	return current.document.Load()
}

// Apply puts a document in force unless the present one is as new or newer.
func (current *Current) Apply(document *Document) {
	current.mutex.Lock()
	defer current.mutex.Unlock()

	previous := current.document.Load()
	if previous != nil && previous.Version >= document.Version {
		return
	}

	current.document.Store(document)

	fields := logrus.Fields{"Version": document.Version, "Routes": len(document.Routes)}
	if previous != nil {
		fields["Before"] = previous.Version
	}

	current.Log.WithFields(fields).Info("New configuration is in force.")
}
