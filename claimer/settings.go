package claimer

import "time"

// Settings bound what a Claimer does and keeps.
type Settings struct {
	// CommitTimeout bounds one group commit. Past it, the requests in it are
	// refused.
	CommitTimeout time.Duration
	// ResultWait is how long a whole answer waits for its result's record;
	// recording goes on after it.
	ResultWait time.Duration
	// RecordFor is how long a result is tried to be recorded. It need not be
	// longer than sidecars retain answers.
	RecordFor time.Duration
	// RecordPause lies between those tries.
	RecordPause time.Duration
	// Rounds is how many takeovers one request may go through.
	Rounds int
	// RetryAfter is the time to come back while the service gives no answer.
	RetryAfter time.Duration
}

// DefaultSettings are the defaults.
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
	// Shards is the number of records that hold all claims. All entries of a
	// fleet must agree on it; see docs/CLAIMS.md for the arithmetic.
	Shards = 1 << 15
	// Retention is how long a key is known.
	Retention = 24 * time.Hour
	// ResultRetention is how long a recorded result is replayed.
	ResultRetention = time.Hour
	// MaxResultBytes bounds a result that is recorded with its claim; a longer
	// one is read at its sidecar while that retains it.
	MaxResultBytes = 1 << 10
	// MaxRecordBytes bounds one record, well under the service's value limit.
	MaxRecordBytes = 256 << 10
	// maxPending bounds the changes that wait for one record.
	maxPending = 1024
	// commitAttempts bounds the races lost by one group commit.
	commitAttempts = 8
)
