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

// ShardCount is the number of index records. It is part of the format of the
// stored data.
const ShardCount = 64

// maxWriteAttempts bounds the attempts of a write when other writers change the
// value concurrently.
const maxWriteAttempts = 20

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
	// ShardCount is the number of index records. Only tests set another value
	// than the constant.
	ShardCount int
}

// NewLedger returns a ledger that stores its records in the key-value service.
func NewLedger(store keeper.Store) *Ledger {
	return &Ledger{Store: store, ShardCount: ShardCount}
}

// JobID returns the ID of a firm's job, which is the same for each submission
// with the same idempotency key.
func JobID(firm, key string) string {
	return "batch_" + digest(firm, key)
}

// NewFileID returns the ID of a new file.
func NewFileID() string { return "file-" + NewUniqueID() }

// digest returns a hash of the parts, hex-encoded.
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

	return int(hash.Sum32() % uint32(ledger.ShardCount))
}

// Job returns the record of a job, or a NotFound error.
func (ledger *Ledger) Job(ctx context.Context, id string) (Record, keeper.Revision, error) {
	record, revision, err := readValue[Record](ctx, ledger.Store, JobKey(id))
	if err == nil && (revision == 0 || record.State == Expired) {
		return Record{}, revision, errors.NotFoundf("job %s", id)
	}

	return record, revision, errors.Trace(err)
}

// File returns the record of a file, or a NotFound error.
func (ledger *Ledger) File(ctx context.Context, id string) (File, error) {
	file, revision, err := readValue[File](ctx, ledger.Store, FileKey(id))
	if err == nil && (revision == 0 || file.ID == "") {
		return File{}, errors.NotFoundf("file %s", id)
	}

	return file, errors.Trace(err)
}

// CreateFile writes the record of a new file.
func (ledger *Ledger) CreateFile(ctx context.Context, file File) error {
	// The ID is unique, so a stored value with this key is this record.
	_, _, err := keeper.WriteWithRetry(ctx, ledger.Store, keeper.ConditionalWrite{
		Key:        FileKey(file.ID),
		Value:      encode(file),
		IsOwnWrite: func([]byte) bool { return true },
	})

	return errors.Trace(err)
}

// CreateJob writes the index entry of a new job, then its record. It returns the
// stored record, which is an earlier one when the same job was submitted before,
// with an AlreadyExists error when the content of that one differs.
func (ledger *Ledger) CreateJob(ctx context.Context, record Record) (Record, error) {
	record.Writer = NewUniqueID()

	for range maxWriteAttempts {
		stored, revision, err := ledger.Job(ctx, record.ID)
		switch {
		case err == nil && stored.Content != record.Content:
			return stored, errors.AlreadyExistsf("another job under the same key (%s)", record.ID)
		case err == nil:
			return stored, nil
		case !errors.Is(err, errors.NotFound):
			return Record{}, errors.Trace(err)
		}

		// The index entry is written again in each attempt. Its new Mark keeps
		// an owner that found an earlier entry without a record from removing it.
		if err := ledger.writeIndexEntry(ctx, IndexEntry{ID: record.ID, Firm: record.Firm, Mark: NewUniqueID()}); err != nil {
			return Record{}, errors.Trace(err)
		}

		_, outcome, err := keeper.WriteWithRetry(ctx, ledger.Store, keeper.ConditionalWrite{
			Key:        JobKey(record.ID),
			Revision:   revision,
			Value:      encode(record),
			IsOwnWrite: func(value []byte) bool { return decode[Record](value).Content == record.Content },
		})
		if outcome == keeper.WriteApplied {
			return record, nil
		}

		if err != nil {
			return Record{}, errors.Trace(err)
		}
	}

	return Record{}, errors.Errorf("job %s: too many writers", record.ID)
}

// RecordCancellation records that no further item of the job may start. It also sets
// this in the index, which the owner watches, so that an owner that other processes
// cannot reach learns of it.
func (ledger *Ledger) RecordCancellation(ctx context.Context, id string) (Record, error) {
	for range maxWriteAttempts {
		record, revision, err := ledger.Job(ctx, id)
		if err != nil || record.State != Open {
			return record, errors.Trace(err)
		}

		record.State = Cancelling

		_, outcome, err := keeper.WriteWithRetry(ctx, ledger.Store, keeper.ConditionalWrite{
			Key:        JobKey(id),
			Revision:   revision,
			Value:      encode(record),
			IsOwnWrite: func(value []byte) bool { return decode[Record](value).State != Open },
		})
		if err != nil {
			return Record{}, errors.Trace(err)
		}

		if outcome == keeper.WriteApplied {
			// Only the record is authoritative; without the index entry the
			// owner merely learns of the cancellation later.
			_ = ledger.writeIndexEntry(ctx, IndexEntry{ID: id, Firm: record.Firm, Mark: NewUniqueID(), Cancelling: true})

			return record, nil
		}
	}

	return Record{}, errors.Errorf("job %s: too many writers", id)
}

// ListJobs returns the index entries of all jobs of a firm.
func (ledger *Ledger) ListJobs(ctx context.Context, firm string) ([]IndexEntry, error) {
	entries := []IndexEntry{}

	for shard := range ledger.ShardCount {
		index, _, err := readValue[Index](ctx, ledger.Store, shardKey(shard))
		if err != nil {
			return nil, errors.Trace(err)
		}

		for _, entry := range index.Jobs {
			if entry.Firm == firm {
				entries = append(entries, entry)
			}
		}
	}

	return entries, nil
}

// writeIndexEntry adds or replaces the index entry of a job.
func (ledger *Ledger) writeIndexEntry(ctx context.Context, entry IndexEntry) error {
	return ledger.editIndex(ctx, ledger.shardOf(entry.ID), func(index Index) Index { return index.With(entry) })
}

// editIndex applies a change to one index record.
func (ledger *Ledger) editIndex(ctx context.Context, shard int, edit func(Index) Index) error {
	for range maxWriteAttempts {
		index, revision, err := readValue[Index](ctx, ledger.Store, shardKey(shard))
		if err != nil {
			return errors.Trace(err)
		}

		index = edit(index)
		index.Writer = NewUniqueID()

		_, outcome, err := keeper.WriteWithRetry(ctx, ledger.Store, keeper.ConditionalWrite{
			Key:        shardKey(shard),
			Revision:   revision,
			Value:      encode(index),
			IsOwnWrite: func(value []byte) bool { return decode[Index](value).Writer == index.Writer },
		})
		if outcome == keeper.WriteApplied {
			return nil
		}

		if err != nil {
			return errors.Trace(err)
		}
	}

	return errors.Errorf("index %d: too many writers", shard)
}

// markExpired replaces a record by one in the state Expired, so that a delayed
// creation of the job is refused and starts over. It returns false when the
// record was changed meanwhile.
func (ledger *Ledger) markExpired(ctx context.Context, id string, revision keeper.Revision) (bool, error) {
	mark := NewUniqueID()
	_, outcome, err := keeper.WriteWithRetry(ctx, ledger.Store, keeper.ConditionalWrite{
		Key:        JobKey(id),
		Revision:   revision,
		Value:      encode(Record{ID: id, State: Expired, Writer: mark}),
		IsOwnWrite: func(value []byte) bool { return decode[Record](value).Writer == mark },
	})

	return outcome == keeper.WriteApplied, errors.Trace(err)
}

// ReferencesSegment returns whether the record with the key references the
// segment.
func (ledger *Ledger) ReferencesSegment(ctx context.Context, key, segment string) (bool, error) {
	// File and Record both list their segments in a field named Segments.
	record, _, err := readValue[struct{ Segments []Segment }](ctx, ledger.Store, key)
	if err != nil {
		return false, errors.Trace(err)
	}

	for _, referenced := range record.Segments {
		if referenced.Name == segment {
			return true, nil
		}
	}

	return false, nil
}

// NewUniqueID returns a random unique ID, such as one that identifies a write.
func NewUniqueID() string { return rand.Text() }

func shardKey(shard int) string { return shardPrefix + strconv.Itoa(shard) }

func leaseKey(shard int) string { return leasePrefix + strconv.Itoa(shard) }

func readValue[T any](ctx context.Context, store keeper.Store, key string) (T, keeper.Revision, error) {
	var value T

	entry, err := store.Get(ctx, key)
	if err != nil || entry.Revision == 0 {
		return value, 0, errors.Trace(err)
	}

	err = json.Unmarshal(entry.Value, &value)

	return value, entry.Revision, errors.Annotatef(err, "decoding %s", key)
}

// decode returns the decoded value, or a zero value if it cannot be decoded.
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

// IndexEntry is the entry of a job in the index.
type IndexEntry struct {
	ID   string
	Firm string
	// Mark is a unique ID of each write of the entry.
	Mark string
	// Cancelling is set to make the owner reload the record.
	Cancelling bool `json:",omitempty"`
	// Ended is when the job ended; zero until then.
	Ended time.Time `json:",omitzero"`
}

// Index is the stored list of the jobs of one shard.
type Index struct {
	// Writer is the unique ID of the last write.
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
