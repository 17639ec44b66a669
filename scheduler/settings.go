package scheduler

import "time"

// Settings are the limits and intervals of a Scheduler.
type Settings struct {
	// Lease is how long a shard stays owned without renewal of its lease.
	Lease time.Duration
	// Renew is the interval of lease renewals, well below Lease.
	Renew time.Duration
	// CallLimit is the time limit of one call to the key-value service.
	CallLimit time.Duration
	// CommitItems is the number of buffered results that triggers a commit.
	CommitItems int
	// CommitLeast is the number of buffered results that triggers a commit once
	// the oldest is CommitInterval old.
	CommitLeast int
	// CommitInterval is the age of the oldest result at which CommitLeast
	// buffered results are committed.
	CommitInterval time.Duration
	// CommitMost is the age of the oldest result at which any number of results
	// is committed. It is long enough that a slow job makes few calls for each
	// item too.
	CommitMost time.Duration
	// BufferItems bounds the uncommitted results and assigned items of a job, in
	// an outage of the key-value service for example.
	BufferItems int
	// InlineBytes bounds the compressed results stored in the record itself.
	InlineBytes int
	// ItemLease is how long an item stays assigned to a sidecar that does not
	// renew it.
	ItemLease time.Duration
	// StartedGrace is how long the owner waits for the answer of a
	// non-idempotent item that an earlier owner handed out, or whose sidecar is
	// silent.
	StartedGrace time.Duration
	// Attempts is the number of failures caused by an item itself after which
	// it fails for good.
	Attempts int
	// Breaks is the number of failures of any cause after which an item fails
	// for good.
	Breaks int
	// BreakPause is the delay before an item runs again, for each failure after
	// the first.
	BreakPause time.Duration
	// IndexGrace is how long an index entry without a record is kept.
	IndexGrace time.Duration
	// Retain is how long an ended job and its results are kept.
	Retain time.Duration
	// StayMargin is how much earlier another job must be due for a sidecar to
	// get its items instead of those of the job whose prompt prefix it has
	// cached.
	StayMargin time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Lease:          30 * time.Second,
		Renew:          10 * time.Second,
		CallLimit:      5 * time.Second,
		CommitItems:    1000,
		CommitLeast:    200,
		CommitInterval: 10 * time.Second,
		CommitMost:     time.Minute,
		BufferItems:    10000,
		InlineBytes:    32 << 10,
		ItemLease:      30 * time.Second,
		StartedGrace:   time.Minute,
		Attempts:       3,
		Breaks:         10,
		BreakPause:     time.Second,
		IndexGrace:     time.Minute,
		Retain:         72 * time.Hour,
		StayMargin:     10 * time.Minute,
	}
}
