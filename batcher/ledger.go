package batcher

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"limpetrail/keeper"
)

const (
	// maxChunk bounds the encoded items in one key; the service takes 1 MiB.
	maxChunk = 600 << 10
	// settlePause is the mean pause before a write of unknown fate is proposed
	// again.
	settlePause = 100 * time.Millisecond
	// decimals of the numbers in keys, so that they sort.
	decimals = 6
)

// ledger reads and writes jobs in the key-value service.
type ledger struct {
	client *keeper.CatalogClient
}

// create writes a job, all of it or nothing. A job of that ID that exists is
// left as it is.
func (ledger ledger) create(ctx context.Context, job Job, head Head) (version, Outcome, error) {
	transaction := keeper.Transaction{Conditions: []keeper.Condition{{Key: headKey(job.ID)}}}

	encoded, err := json.Marshal(head)
	if err != nil {
		return version{}, NotDone, errors.Trace(err)
	}

	transaction.Puts = append(transaction.Puts, keeper.Put{Key: headKey(job.ID), Value: encoded})

	for number, items := range chunks(job.Items) {
		value, err := json.Marshal(items)
		if err != nil {
			return version{}, NotDone, errors.Trace(err)
		}

		transaction.Puts = append(transaction.Puts, keeper.Put{Key: numbered(itemsPrefix(job.ID), number), Value: value})
	}

	committed, err := ledger.settle(ctx, transaction)

	switch committed.Applied {
	case keeper.WriteApplied:
		return version{Head: head, revision: committed.Revision}, OK, nil
	case keeper.WriteUnknown:
		return version{}, Unknown, errors.Trace(err)
	default:
	}

	if err != nil {
		return version{}, NotDone, errors.Trace(err)
	}

	present, err := decodeHead(committed.Present[0])

	return present, OK, errors.Trace(err)
}

// settle proposes a transaction until its fate is known or the context ends.
// A transaction that was refused after an unknown copy may be that copy's work;
// the caller sees its own values in what is present.
func (ledger ledger) settle(ctx context.Context, transaction keeper.Transaction) (keeper.Committed, error) {
	unknown := false

	for {
		committed, err := ledger.client.Transact(ctx, transaction)

		switch {
		case committed.Applied == keeper.WriteUnknown:
			unknown = true
		case err == nil:
			return committed, nil
		case !unknown:
			return committed, errors.Trace(err)
		}

		select {
		case <-time.After(settlePause/2 + rand.N(settlePause)):
		case <-ctx.Done():
			return keeper.Committed{Applied: keeper.WriteUnknown}, errors.Trace(err)
		}
	}
}

// replace writes a head over the one that was read. It returns what is there
// if that has changed.
func (ledger ledger) replace(ctx context.Context, id string, before version, head Head) (version, bool, error) {
	encoded, err := json.Marshal(head)
	if err != nil {
		return before, false, errors.Trace(err)
	}

	committed, err := ledger.settle(ctx, keeper.Transaction{
		Conditions: []keeper.Condition{{Key: headKey(id), Revision: before.revision}},
		Puts:       []keeper.Put{{Key: headKey(id), Value: encoded}},
	})

	switch {
	case err != nil:
		return before, false, errors.Trace(err)
	case committed.Applied == keeper.WriteApplied:
		return version{Head: head, revision: committed.Revision}, true, nil
	case len(committed.Present) == 0 || committed.Present[0].Revision == 0:
		return version{}, false, nil
	}

	present, err := decodeHead(committed.Present[0])
	// A lost answer shows as one's own value.
	own := err == nil && bytes.Equal(committed.Present[0].Value, encoded)

	return present, own, errors.Trace(err)
}

// head reads a job's head; its revision is 0 if there is none.
func (ledger ledger) head(ctx context.Context, id string) (version, error) {
	item, err := ledger.client.Get(ctx, headKey(id))
	if err != nil || item.Revision == 0 {
		return version{}, errors.Trace(err)
	}

	return decodeHead(item)
}

// items reads all items of a job.
func (ledger ledger) items(ctx context.Context, id string) ([]Item, error) {
	pages, _, err := ledger.client.RangeAll(ctx, itemsPrefix(id))
	if err != nil {
		return nil, errors.Trace(err)
	}

	items := []Item{}

	for _, page := range pages {
		part := []Item{}
		if err := json.Unmarshal(page.Value, &part); err != nil {
			return nil, errors.Annotatef(err, "reading %s", page.Key)
		}

		items = append(items, part...)
	}

	return items, nil
}

// results reads the segments from a number on.
func (ledger ledger) results(ctx context.Context, id string, from int) ([]segment, error) {
	prefix, after, segments := resultsPrefix(id), "", []segment{}
	if from > 0 {
		after = numbered(prefix, from-1)
	}

	for {
		page, err := ledger.client.Range(ctx, prefix, after, false)
		if err != nil {
			return nil, errors.Trace(err)
		}

		for _, item := range page.Items {
			read := segment{}
			if err := json.Unmarshal(item.Value, &read); err != nil {
				return nil, errors.Annotatef(err, "reading %s", item.Key)
			}

			segments = append(segments, read)
			after = item.Key
		}

		if !page.Truncated || len(page.Items) == 0 {
			return segments, nil
		}
	}
}

func decodeHead(item keeper.Item) (version, error) {
	decoded := version{revision: item.Revision}

	return decoded, errors.Annotatef(json.Unmarshal(item.Value, &decoded.Head), "reading %s", item.Key)
}

// chunks cuts items into groups that fit into a key each.
func chunks(items []Item) [][]Item {
	groups := [][]Item{{}}
	size := 0

	for _, item := range items {
		// Bodies are base64 in JSON; headers and names are short beside them.
		length := len(item.Body)*4/3 + len(item.Target) + 512
		for name, value := range item.Header {
			length += len(name) + len(value)
		}

		if last := len(groups) - 1; size+length <= maxChunk || len(groups[last]) == 0 {
			groups[last] = append(groups[last], item)
			size += length

			continue
		}

		groups = append(groups, []Item{item})
		size = length
	}

	return groups
}

func numbered(prefix string, number int) string {
	return fmt.Sprintf("%s%0*d", prefix, decimals, number)
}
