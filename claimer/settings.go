package claimer

import "time"

// Settings bound the timeouts and retries of a Claimer.
type Settings struct {
	// CommitTimeout bounds one group commit. When it expires, the requests in the
	// group are refused.
	CommitTimeout time.Duration
	// ResultWait is how long the end of an answer is delayed until its result is
	// recorded; after it, recording continues in the background.
	ResultWait time.Duration
	// RecordFor is how long recording a result is retried. It need not exceed the
	// time for which sidecars retain answers.
	RecordFor time.Duration
	// RecordPause is the delay between those retries.
	RecordPause time.Duration
	// Rounds is how often one request may try to claim its key; each further
	// round follows the revocation of an attempt.
	Rounds int
	// RetryAfter is when callers should retry a request that failed because the
	// key-value service did not answer, or because copies contended for its key.
	RetryAfter time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		CommitTimeout: time.Second,
		ResultWait:    500 * time.Millisecond,
		RecordFor:     5 * time.Minute,
		RecordPause:   time.Second,
		Rounds:        4,
		RetryAfter:    2 * time.Second,
	}
}

const (
	// Shards is the number of records that the claims are spread over. All entries
	// of a fleet must use the same number; docs/CLAIMS.md derives it.
	Shards = 1 << 15
	// Retention is how long a claim is kept; after it, its key is free again.
	Retention = 24 * time.Hour
	// ResultRetention is how long a recorded result can be replayed.
	ResultRetention = time.Hour
	// MaxResultBytes bounds a result that is recorded in its claim; a longer one
	// is read from its sidecar, for as long as the sidecar retains it.
	MaxResultBytes = 1 << 10
	// MaxRecordBytes bounds one record, well below the value limit of the key-value
	// service.
	MaxRecordBytes = 256 << 10
	// maxPending bounds the changes that are pending for one record.
	maxPending = 1024
	// maxWriteAttempts bounds how often one group commit is retried after another
	// writer changed the record first.
	maxWriteAttempts = 8
)
