package bookkeeper

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"net/url"
	"slices"

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

// EncodePartials returns the value that stores partial output by item ID, not longer than the
// limit. Items with the least output are left out if it would be, and counted.
func EncodePartials(partials map[string]Partial, limit int) ([]byte, int, error) {
	ids := slices.SortedFunc(maps.Keys(partials), func(one, other string) int {
		return cmp.Or(cmp.Compare(partials[other].Events, partials[one].Events), cmp.Compare(one, other))
	})
	encoded, size, omitted := map[string]json.RawMessage{}, fragmentSyntax, 0

	for _, id := range ids {
		value, err := json.Marshal(partials[id])
		if err != nil {
			return nil, 0, errors.Trace(err)
		}

		key, err := json.Marshal(id)
		if err != nil {
			return nil, 0, errors.Trace(err)
		}

		if size+len(key)+len(value)+2 > limit {
			omitted++

			continue
		}

		encoded[id] = value
		size += len(key) + len(value) + 2
	}

	value, err := json.Marshal(encoded)

	return value, omitted, errors.Trace(err)
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
