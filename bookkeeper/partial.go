package bookkeeper

import (
	"context"
	"encoding/json"
	"net/url"

	"github.com/juju/errors"
)

const prefixPartials = "limpetrail/jobs/partials/"

// Partial is the output that an unfinished item has produced so far.
type Partial struct {
	// After is the number of the last event received.
	After int
	// Events is the number of events received.
	Events int
	Output string
	// Software is the software version of the servers that sent the output.
	Software string `json:",omitempty"`
	// Failures is the number of failed attempts.
	Failures int
}

// PartialsKey returns the key of a job's partial output.
func PartialsKey(id string) string {
	return prefixPartials + url.QueryEscape(id)
}

// Partials reads the partial output that a former owner of the job saved, by item ID.
// Items without any start from the beginning.
func (ledger Ledger) Partials(ctx context.Context, id string) (map[string]Partial, error) {
	item, err := ledger.Client.Get(ctx, PartialsKey(id))
	if err != nil || item.Revision == 0 {
		return nil, errors.Trace(err)
	}

	partials := map[string]Partial{}

	return partials, errors.Annotatef(json.Unmarshal(item.Value, &partials), "reading %s", item.Key)
}
