package scheduler

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash/fnv"
	"strconv"
	"time"

	"github.com/juju/errors"

	"limpetrail/keeper"
)

// Shards is the number of index records. It is part of the format of what
// lies in the key-value service.
const Shards = 64

// swapAttempts bounds the tries of a write that others race.
const swapAttempts = 20

// Keys in the key-value service.
const (
	jobPrefix   = "limpetrail/job/"
	filePrefix  = "limpetrail/file/"
	shardPrefix = "limpetrail/jobs/"
	leasePrefix = "limpetrail/jobs-owner/"
)

// Ledger reads and writes the records of jobs and files.
type Ledger struct {
	Store keeper.Store
	// Shards is the number of index records; other than the constant in tests
	// only.
	Shards int
}

// NewLedger returns a ledger in the key-value service.
func NewLedger(store keeper.Store) *Ledger {
	return &Ledger{Store: store, Shards: Shards}
}

// JobID returns the ID of a firm's job: the same for each submission under the
// same key.
func JobID(firm, key string) string {
	return "batch_" + digest(firm, key)
}

// NewFileID returns the ID of a new file.
func NewFileID() string { return "file-" + NewMark() }

// digest returns an identifying hash of the parts.
func digest(parts ...string) string {
	hash := sha256.New()
	for _, part := range parts {
		hash.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}

	return hex.EncodeToString(hash.Sum(nil)[:16])
}

// JobKey returns the key of a job's record.
func JobKey(id string) string { return jobPrefix + id }

// FileKey returns the key of a file's record.
func FileKey(id string) string { return filePrefix + id }

func (ledger *Ledger) shardOf(id string) int {
	hash := fnv.New32a()
	hash.Write([]byte(id))

	return int(hash.Sum32() % uint32(ledger.Shards))
}

// Job reads a job. The error is NotFound when there is none.
func (ledger *Ledger) Job(ctx context.Context, id string) (Record, keeper.Revision, error) {
	record, revision, err := read[Record](ctx, ledger.Store, JobKey(id))
	if err == nil && (revision == 0 || record.State == Expired) {
		return Record{}, revision, errors.NotFoundf("job %s", id)
	}

	return record, revision, errors.Trace(err)
}

// File reads a file. The error is NotFound when there is none.
func (ledger *Ledger) File(ctx context.Context, id string) (File, error) {
	file, revision, err := read[File](ctx, ledger.Store, FileKey(id))
	if err == nil && (revision == 0 || file.ID == "") {
		return File{}, errors.NotFoundf("file %s", id)
	}

	return file, errors.Trace(err)
}

// CreateFile writes the record of a new file.
func (ledger *Ledger) CreateFile(ctx context.Context, file File) error {
	// The ID is unique, so whatever lies under it is this record.
	_, _, err := keeper.Write(ctx, ledger.Store, keeper.Proposal{
		Key:   FileKey(file.ID),
		Value: encode(file),
		Mine:  func([]byte) bool { return true },
	})

	return errors.Trace(err)
}

// Create writes a new job: the index first, the record second. It returns the
// record in force, which is an earlier one when the same was submitted before,
// and an AlreadyExists error when that one holds other content.
func (ledger *Ledger) Create(ctx context.Context, record Record) (Record, error) {
	record.Writer = NewMark()

	for range swapAttempts {
		present, revision, err := ledger.Job(ctx, record.ID)
		switch {
		case err == nil && present.Content != record.Content:
			return present, errors.AlreadyExistsf("another job under the same key (%s)", record.ID)
		case err == nil:
			return present, nil
		case !errors.Is(err, errors.NotFound):
			return Record{}, errors.Trace(err)
		}

		// The entry is written anew each time: its mark keeps an owner that
		// found the entry without a record from removing it.
		if err := ledger.index(ctx, IndexEntry{ID: record.ID, Firm: record.Firm, Mark: NewMark()}); err != nil {
			return Record{}, errors.Trace(err)
		}

		_, applied, err := keeper.Write(ctx, ledger.Store, keeper.Proposal{
			Key:      JobKey(record.ID),
			Revision: revision,
			Value:    encode(record),
			Mine:     func(value []byte) bool { return decode[Record](value).Content == record.Content },
		})
		if applied == keeper.WriteApplied {
			return record, nil
		}

		if err != nil {
			return Record{}, errors.Trace(err)
		}
	}

	return Record{}, errors.Errorf("job %s: too many writers", record.ID)
}

// Cancel records that no further item may start. The index carries it too, so
// that an owner that nobody can reach learns of it.
func (ledger *Ledger) Cancel(ctx context.Context, id string) (Record, error) {
	for range swapAttempts {
		record, revision, err := ledger.Job(ctx, id)
		if err != nil || record.State != Open {
			return record, errors.Trace(err)
		}

		record.State = Cancelling

		_, applied, err := keeper.Write(ctx, ledger.Store, keeper.Proposal{
			Key:      JobKey(id),
			Revision: revision,
			Value:    encode(record),
			Mine:     func(value []byte) bool { return decode[Record](value).State != Open },
		})
		if err != nil {
			return Record{}, errors.Trace(err)
		}

		if applied == keeper.WriteApplied {
			// The record decides; a lost hint costs the owner some time only.
			_ = ledger.index(ctx, IndexEntry{ID: id, Firm: record.Firm, Mark: NewMark(), Cancelling: true})

			return record, nil
		}
	}

	return Record{}, errors.Errorf("job %s: too many writers", id)
}

// List returns the index entries of a firm's jobs.
func (ledger *Ledger) List(ctx context.Context, firm string) ([]IndexEntry, error) {
	found := []IndexEntry{}

	for shard := range ledger.Shards {
		index, _, err := read[Index](ctx, ledger.Store, shardKey(shard))
		if err != nil {
			return nil, errors.Trace(err)
		}

		for _, entry := range index.Jobs {
			if entry.Firm == firm {
				found = append(found, entry)
			}
		}
	}

	return found, nil
}

// index adds or replaces the entry of a job.
func (ledger *Ledger) index(ctx context.Context, entry IndexEntry) error {
	return ledger.editIndex(ctx, ledger.shardOf(entry.ID), func(index Index) Index { return index.With(entry) })
}

// editIndex applies a change to one index record.
func (ledger *Ledger) editIndex(ctx context.Context, shard int, edit func(Index) Index) error {
	for range swapAttempts {
		index, revision, err := read[Index](ctx, ledger.Store, shardKey(shard))
		if err != nil {
			return errors.Trace(err)
		}

		index = edit(index)
		index.Writer = NewMark()

		_, applied, err := keeper.Write(ctx, ledger.Store, keeper.Proposal{
			Key:      shardKey(shard),
			Revision: revision,
			Value:    encode(index),
			Mine:     func(value []byte) bool { return decode[Index](value).Writer == index.Writer },
		})
		if applied == keeper.WriteApplied {
			return nil
		}

		if err != nil {
			return errors.Trace(err)
		}
	}

	return errors.Errorf("index %d: too many writers", shard)
}

// expire replaces a record by the mark of one that is gone, so that a delayed
// creation is refused and begins again.
func (ledger *Ledger) expire(ctx context.Context, id string, revision keeper.Revision) (bool, error) {
	mark := NewMark()
	_, applied, err := keeper.Write(ctx, ledger.Store, keeper.Proposal{
		Key:      JobKey(id),
		Revision: revision,
		Value:    encode(Record{ID: id, State: Expired, Writer: mark}),
		Mine:     func(value []byte) bool { return decode[Record](value).Writer == mark },
	})

	return applied == keeper.WriteApplied, errors.Trace(err)
}

// Names tells whether the record at the key names the segment.
func (ledger *Ledger) Names(ctx context.Context, key, segment string) (bool, error) {
	// Files and jobs call their segments by the same name.
	holder, _, err := read[struct{ Segments []Segment }](ctx, ledger.Store, key)
	if err != nil {
		return false, errors.Trace(err)
	}

	for _, named := range holder.Segments {
		if named.Name == segment {
			return true, nil
		}
	}

	return false, nil
}

// NewMark returns a unique mark of a write.
func NewMark() string { return rand.Text() }

func shardKey(shard int) string { return shardPrefix + strconv.Itoa(shard) }

func leaseKey(shard int) string { return leasePrefix + strconv.Itoa(shard) }

func read[T any](ctx context.Context, store keeper.Store, key string) (T, keeper.Revision, error) {
	var value T

	entry, err := store.Get(ctx, key)
	if err != nil || entry.Revision == 0 {
		return value, 0, errors.Trace(err)
	}

	err = json.Unmarshal(entry.Value, &value)

	return value, entry.Revision, errors.Annotatef(err, "decoding %s", key)
}

// decode returns the value, or an empty one where it cannot be decoded.
func decode[T any](value []byte) T {
	var decoded T

	_ = json.Unmarshal(value, &decoded)

	return decoded
}

func encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("scheduler: record cannot be encoded: " + err.Error())
	}

	return encoded
}

// IndexEntry names a job in the index.
type IndexEntry struct {
	ID   string
	Firm string
	// Mark is unique to each write of the entry.
	Mark string
	// Cancelling tells the owner to read the record again.
	Cancelling bool `json:",omitempty"`
	// Ended is when the job ended; zero before.
	Ended time.Time `json:",omitzero"`
}

// Index lists the jobs of one shard.
type Index struct {
	Writer string
	Jobs   []IndexEntry
}

// With returns the index with the entry added or replaced.
func (index Index) With(entry IndexEntry) Index {
	index = index.Without(entry.ID)
	index.Jobs = append(index.Jobs, entry)

	return index
}

// Without returns the index without the job.
func (index Index) Without(id string) Index {
	kept := make([]IndexEntry, 0, len(index.Jobs))

	for _, entry := range index.Jobs {
		if entry.ID != id {
			kept = append(kept, entry)
		}
	}

	index.Jobs = kept

	return index
}
