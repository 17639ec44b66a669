package publisher

import (
	"limpetrail/editor"
	"limpetrail/keeper"
)

// DocumentKey is the document's key in the key-value service.
const DocumentKey = editor.DocumentKey

// Snapshot is one revision of the document.
type Snapshot struct {
	// Revision is the key's revision; 0 before any document is known.
	Revision keeper.Revision
	Index    *editor.Index
	// packed is the document as gzipped JSON, as it is sent to peers.
	packed []byte
}
