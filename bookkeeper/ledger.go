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
	// retryPause is the mean pause before a transaction with an unknown outcome is
	// tried again.
	retryPause = 100 * time.Millisecond
	// numberWidth is the number of digits to which numbers in keys are padded, so
	// that the keys sort by number.
	numberWidth = 6
)

// Ledger reads and writes jobs in the key-value service.
type Ledger struct {
	Client *keeper.CatalogClient
}

// Create stores a job in one transaction. It changes nothing if a job of that ID
// exists, and returns that job's head.
func (ledger Ledger) Create(ctx context.Context, job Job, head Head) (VersionedHead, Outcome, error) {
	transaction := keeper.Transaction{Conditions: []keeper.Condition{{Key: HeadKey(job.ID)}}}

	encoded, err := json.Marshal(head)
	if err != nil {
		return VersionedHead{}, NotDone, errors.Trace(err)
	}

	transaction.Puts = append(transaction.Puts, keeper.Put{Key: HeadKey(job.ID), Value: encoded})

	chunks, err := encodeItems(job.Items, ledger.ChunkBytes())
	if err != nil {
		return VersionedHead{}, NotDone, errors.Trace(err)
	}

	if len(chunks) > maxChunks {
		return VersionedHead{}, Rejected, errors.NotValidf("items: give at most %d bytes in all, as JSON; job", maxChunks*ledger.ChunkBytes())
	}

	for number, value := range chunks {
		transaction.Puts = append(transaction.Puts, keeper.Put{Key: NumberedKey(ItemsPrefix(job.ID), number), Value: value})
	}

	result, err := ledger.TransactWithRetry(ctx, transaction)

	switch result.Applied {
	case keeper.WriteApplied:
		return VersionedHead{Head: head, Revision: result.Revision}, OK, nil
	case keeper.WriteUnknown:
		return VersionedHead{}, Unknown, errors.Trace(err)
	default:
	}

	switch {
	case errors.Is(err, keeper.ErrRejected):
		return VersionedHead{}, Rejected, errors.Trace(err)
	case err != nil:
		return VersionedHead{}, NotDone, errors.Trace(err)
	}

	present, err := DecodeHead(result.Present[0])

	return present, OK, errors.Trace(err)
}

// TransactWithRetry tries a transaction until its outcome is known or the context ends.
// If an attempt with an unknown outcome did take effect, the next one fails on its
// conditions; the caller then finds its own values in the result's Present.
func (ledger Ledger) TransactWithRetry(ctx context.Context, transaction keeper.Transaction) (keeper.TransactionResult, error) {
	mayBeApplied := false

	for {
		result, err := ledger.Client.Transact(ctx, transaction)

		switch {
		case errors.Is(err, keeper.ErrRejected):
			// The same call never succeeds. An earlier attempt may have, in spite of that.
			if mayBeApplied {
				result.Applied = keeper.WriteUnknown
			}

			return result, errors.Trace(err)
		case result.Applied == keeper.WriteUnknown:
			mayBeApplied = true
		case err == nil:
			return result, nil
		case !mayBeApplied:
			return result, errors.Trace(err)
		}

		select {
		case <-time.After(retryPause/2 + rand.N(retryPause)):
		case <-ctx.Done():
			return keeper.TransactionResult{Applied: keeper.WriteUnknown}, errors.Trace(err)
		}
	}
}

// Replace writes a head on the condition that the stored one is still the one that was
// read. It returns the stored head, and whether the new one was written.
func (ledger Ledger) Replace(ctx context.Context, id string, read VersionedHead, head Head) (VersionedHead, bool, error) {
	encoded, err := json.Marshal(head)
	if err != nil {
		return read, false, errors.Trace(err)
	}

	result, err := ledger.TransactWithRetry(ctx, keeper.Transaction{
		Conditions: []keeper.Condition{{Key: HeadKey(id), Revision: read.Revision}},
		Puts:       []keeper.Put{{Key: HeadKey(id), Value: encoded}},
	})

	switch {
	case err != nil && result.Applied == keeper.WriteUnknown:
		return read, false, errors.Annotate(ErrUnknown, err.Error())
	case err != nil:
		return read, false, errors.Trace(err)
	case result.Applied == keeper.WriteApplied:
		return VersionedHead{Head: head, Revision: result.Revision}, true, nil
	case len(result.Present) == 0 || result.Present[0].Revision == 0:
		return VersionedHead{}, false, nil
	}

	present, err := DecodeHead(result.Present[0])
	// If the answer to an earlier attempt was lost, the stored head is the new one.
	applied := err == nil && bytes.Equal(result.Present[0].Value, encoded)

	return present, applied, errors.Trace(err)
}

// ErrUnknown is the cause if a write may take effect, though its answer did not come.
var ErrUnknown = errors.New("the outcome of the write is not known")

// Head reads a job's head. Its revision is 0 if the job does not exist.
func (ledger Ledger) Head(ctx context.Context, id string) (VersionedHead, error) {
	item, err := ledger.Client.Get(ctx, HeadKey(id))
	if err != nil || item.Revision == 0 {
		return VersionedHead{}, errors.Trace(err)
	}

	return DecodeHead(item)
}

// Items reads all items of a job.
func (ledger Ledger) Items(ctx context.Context, id string) ([]Item, error) {
	stored, _, err := ledger.Client.RangeAll(ctx, ItemsPrefix(id))
	if err != nil {
		return nil, errors.Trace(err)
	}

	return decodeItems(stored)
}

// Segments reads a job's segments, starting with the one of the given number.
func (ledger Ledger) Segments(ctx context.Context, id string, from int) ([]Segment, error) {
	prefix, after, segments := ResultsPrefix(id), "", []Segment{}
	if from > 0 {
		after = NumberedKey(prefix, from-1)
	}

	for {
		page, err := ledger.Client.Range(ctx, prefix, after, false)
		if err != nil {
			return nil, errors.Trace(err)
		}

		for _, item := range page.Items {
			segment := Segment{}
			if err := json.Unmarshal(item.Value, &segment); err != nil {
				return nil, errors.Annotatef(err, "reading %s", item.Key)
			}

			segments = append(segments, segment)
			after = item.Key
		}

		if !page.Truncated || len(page.Items) == 0 {
			return segments, nil
		}
	}
}

// NumberedKey returns a key that ends in the number, padded so that keys sort by number.
func NumberedKey(prefix string, number int) string {
	return fmt.Sprintf("%s%0*d", prefix, numberWidth, number)
}

// CreateDelivered creates a job that a custodian delivers, unless it exists. Its owner
// is the process that accepted it from the caller.
func CreateDelivered(ctx context.Context, client *keeper.CatalogClient, job Job) Outcome {
	_, outcome, _ := Ledger{Client: client}.Create(ctx, job, NewHead(job))

	return outcome
}
