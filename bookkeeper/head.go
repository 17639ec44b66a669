package bookkeeper

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"limpetrail/keeper"
)

// Head is the record that says who runs a job. It changes when a job is
// created, taken over, ended and done, and each change ends the right of an
// earlier owner to list results.
type Head struct {
	// Owner is the incarnation that runs the job, or empty.
	Owner     string
	Host      string
	Total     int
	Submitted time.Time
	Due       time.Time
	GiveUp    time.Time
	// Ended jobs run no further item.
	Ended bool
	// Done jobs have all their results listed.
	Done bool
}

// Open tells whether items may still run.
func (head Head) Open() bool {
	return !head.Ended && !head.Done
}

// Version is a head with its revision.
type Version struct {
	Head
	Revision keeper.Revision
}

// DecodeHead reads a head from its item.
func DecodeHead(item keeper.Item) (Version, error) {
	decoded := Version{Revision: item.Revision}

	return decoded, errors.Annotatef(json.Unmarshal(item.Value, &decoded.Head), "reading %s", item.Key)
}
