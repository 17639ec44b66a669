package matcher

import (
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"limpetrail/kernel"
)

// Current holds the document in force. Its version never falls.
type Current struct {
	kernel.Common

	mutex    sync.Mutex
	document atomic.Pointer[Document]
}

// NewCurrent returns a holder without a document.
func NewCurrent(common kernel.Common) *Current {
	return &Current{Common: common.ForPart("matcher")}
}

// Document returns the document in force, or nil before the first.
func (current *Current) Document() *Document {
	return current.document.Load()
}

// Apply puts a document in force unless it is older than the present one.
func (current *Current) Apply(document *Document) {
	current.mutex.Lock()
	defer current.mutex.Unlock()

	before := current.document.Load()
	if before != nil && before.Version >= document.Version {
		return
	}

	current.document.Store(document)

	fields := logrus.Fields{"Version": document.Version, "Routes": len(document.Routes)}
	if before != nil {
		fields["Before"] = before.Version
	}

	current.Log.WithFields(fields).Info("Configuration is in force.")
}
