package bookkeeper

import (
	"bytes"
	"encoding/json"

	"github.com/juju/errors"

	"limpetrail/keeper"
)

// maxChunks is how many values of items fit into the transaction that creates a job, beside the
// condition and the head.
const maxChunks = keeper.MaxTransactionEntries - 2

// encodeItems returns the values that store items, none longer than the limit.
func encodeItems(items []Item, limit int) ([][]byte, error) {
	values, pending, size := [][]byte{}, [][]byte{}, 0

	flush := func() {
		if len(pending) > 0 {
			values = append(values, joinArray(pending))
		}

		pending, size = nil, 0
	}

	for _, item := range items {
		encoded, err := json.Marshal(item)
		if err != nil {
			return nil, errors.Trace(err)
		}

		// Each item comes with a comma or a bracket, and there is one bracket more.
		if size+len(encoded)+2 > limit {
			flush()
		}

		if len(encoded)+2 <= limit {
			pending, size = append(pending, encoded), size+len(encoded)+1

			continue
		}

		for _, fragment := range split(encoded, limit) {
			value, err := json.Marshal(fragment)
			if err != nil {
				return nil, errors.Trace(err)
			}

			values = append(values, value)
		}
	}

	flush()

	return values, nil
}

// decodeItems returns the items that the values store. An array holds items, an object a fragment
// of one.
func decodeItems(stored []keeper.Item) ([]Item, error) {
	items, joined := []Item{}, []byte(nil)

	for _, value := range stored {
		if bytes.HasPrefix(value.Value, []byte("[")) {
			chunk := []Item{}
			if err := json.Unmarshal(value.Value, &chunk); err != nil {
				return nil, errors.Annotatef(err, "reading %s", value.Key)
			}

			items = append(items, chunk...)

			continue
		}

		fragment, item, complete := Fragment{}, Item{}, false
		if err := json.Unmarshal(value.Value, &fragment); err != nil {
			return nil, errors.Annotatef(err, "reading %s", value.Key)
		}

		if joined, complete = fragment.join(joined); !complete {
			continue
		}

		if err := json.Unmarshal(joined, &item); err != nil {
			return nil, errors.Annotatef(err, "reading the item that ends in %s", value.Key)
		}

		items = append(items, item)
	}

	return items, nil
}

// joinArray returns a JSON array of encoded elements.
func joinArray(elements [][]byte) []byte {
	joined := append([]byte("["), bytes.Join(elements, []byte(","))...)

	return append(joined, ']')
}
