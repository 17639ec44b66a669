package bookkeeper

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"limpetrail/keeper"
)

// Head is the stored record that says who owns a job. It is written when a job is
// created, taken over, ended and done. Results are committed on the condition that
// the head has not changed, so each write stops earlier owners from committing.
type Head struct {
	// Owner is the process incarnation that runs the job. It is empty if none does.
	Owner     string
	Host      string
	Total     int
	Submitted time.Time
	Due       time.Time
	GiveUp    time.Time
	// Ended is set when the job was ended: no further item starts.
	Ended bool
	// Done is set when all results are committed.
	Done bool
}

// IsOpen tells whether items of the job may still run.
func (head Head) IsOpen() bool {
	return !head.Ended && !head.Done
}

// VersionedHead is a head and the revision at which it was written.
type VersionedHead struct {
	Head
	Revision keeper.Revision
}

// DecodeHead decodes a head from the item that stores it.
func DecodeHead(item keeper.Item) (VersionedHead, error) {
	decoded := VersionedHead{Revision: item.Revision}

	return decoded, errors.Annotatef(json.Unmarshal(item.Value, &decoded.Head), "reading %s", item.Key)
}
