package bookkeeper

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

// Ledger reads and writes jobs in the key-value service.
type Ledger struct {
	Client *keeper.CatalogClient
}

// Create writes a job, all of it or nothing. A job of that ID that exists is
// left as it is.
func (ledger Ledger) Create(ctx context.Context, job Job, head Head) (Version, Outcome, error) {
	transaction := keeper.Transaction{Conditions: []keeper.Condition{{Key: HeadKey(job.ID)}}}

	encoded, err := json.Marshal(head)
	if err != nil {
		return Version{}, NotDone, errors.Trace(err)
	}

	transaction.Puts = append(transaction.Puts, keeper.Put{Key: HeadKey(job.ID), Value: encoded})

	for number, items := range chunks(job.Items) {
		value, err := json.Marshal(items)
		if err != nil {
			return Version{}, NotDone, errors.Trace(err)
		}

		transaction.Puts = append(transaction.Puts, keeper.Put{Key: Numbered(ItemsPrefix(job.ID), number), Value: value})
	}

	committed, err := ledger.Settle(ctx, transaction)

	switch committed.Applied {
	case keeper.WriteApplied:
		return Version{Head: head, Revision: committed.Revision}, OK, nil
	case keeper.WriteUnknown:
		return Version{}, Unknown, errors.Trace(err)
	default:
	}

	if err != nil {
		return Version{}, NotDone, errors.Trace(err)
	}

	present, err := DecodeHead(committed.Present[0])

	return present, OK, errors.Trace(err)
}

// Settle proposes a transaction until its fate is known or the context ends.
// A transaction that was refused after an unknown copy may be that copy's work;
// the caller sees its own values in what is present.
func (ledger Ledger) Settle(ctx context.Context, transaction keeper.Transaction) (keeper.Committed, error) {
	unknown := false

	for {
		committed, err := ledger.Client.Transact(ctx, transaction)

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

// Replace writes a head over the one that was read. It returns what is there
// if that has changed.
func (ledger Ledger) Replace(ctx context.Context, id string, before Version, head Head) (Version, bool, error) {
	encoded, err := json.Marshal(head)
	if err != nil {
		return before, false, errors.Trace(err)
	}

	committed, err := ledger.Settle(ctx, keeper.Transaction{
		Conditions: []keeper.Condition{{Key: HeadKey(id), Revision: before.Revision}},
		Puts:       []keeper.Put{{Key: HeadKey(id), Value: encoded}},
	})

	switch {
	case err != nil:
		return before, false, errors.Trace(err)
	case committed.Applied == keeper.WriteApplied:
		return Version{Head: head, Revision: committed.Revision}, true, nil
	case len(committed.Present) == 0 || committed.Present[0].Revision == 0:
		return Version{}, false, nil
	}

	present, err := DecodeHead(committed.Present[0])
	// A lost answer shows as one's own value.
	own := err == nil && bytes.Equal(committed.Present[0].Value, encoded)

	return present, own, errors.Trace(err)
}

// Head reads a job's head; its revision is 0 if there is none.
func (ledger Ledger) Head(ctx context.Context, id string) (Version, error) {
	item, err := ledger.Client.Get(ctx, HeadKey(id))
	if err != nil || item.Revision == 0 {
		return Version{}, errors.Trace(err)
	}

	return DecodeHead(item)
}

// Items reads all items of a job.
func (ledger Ledger) Items(ctx context.Context, id string) ([]Item, error) {
	pages, _, err := ledger.Client.RangeAll(ctx, ItemsPrefix(id))
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

// Results reads the segments from a number on.
func (ledger Ledger) Results(ctx context.Context, id string, from int) ([]Segment, error) {
	prefix, after, segments := ResultsPrefix(id), "", []Segment{}
	if from > 0 {
		after = Numbered(prefix, from-1)
	}

	for {
		page, err := ledger.Client.Range(ctx, prefix, after, false)
		if err != nil {
			return nil, errors.Trace(err)
		}

		for _, item := range page.Items {
			read := Segment{}
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

// Numbered is a key that sorts by its number.
func Numbered(prefix string, number int) string {
	return fmt.Sprintf("%s%0*d", prefix, decimals, number)
}

// Restore creates a job for a custodian, unless it exists. It is owned by the process
// that accepted it.
func Restore(ctx context.Context, client *keeper.CatalogClient, job Job) Outcome {
	head := Head{Owner: job.Owner, Host: job.Host, Total: len(job.Items), Submitted: job.Submitted, Due: job.Due, GiveUp: job.GiveUp}
	_, outcome, _ := Ledger{Client: client}.Create(ctx, job, head)

	return outcome
}
