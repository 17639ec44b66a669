package bookkeeper

import (
	"context"
	"encoding/json"
	"net/url"

	"github.com/juju/errors"
)

const prefixPartials = "limpetrail/jobs/partials/"

// Partial is the output of an item so far.
type Partial struct {
	// After is the number of the last event, and Events how many there are.
	After  int
	Events int
	Output string
	// Failures is how many attempts failed so far.
	Failures int
}

// PartialKey is where the partial output of a job lies.
func PartialKey(id string) string {
	return prefixPartials + url.QueryEscape(id)
}

// Partials reads what a former owner saved. Without it items begin anew.
func (ledger Ledger) Partials(ctx context.Context, id string) (map[string]Partial, error) {
	item, err := ledger.Client.Get(ctx, PartialKey(id))
	if err != nil || item.Revision == 0 {
		return nil, errors.Trace(err)
	}

	partials := map[string]Partial{}

	return partials, errors.Annotatef(json.Unmarshal(item.Value, &partials), "reading %s", item.Key)
}
