package scheduler

import "time"

// Settings bound what a Scheduler does and keeps.
type Settings struct {
	// Lease is how long a shard stays owned without renewal.
	Lease time.Duration
	// Renew is the interval of renewals, well below Lease.
	Renew time.Duration
	// CallLimit bounds one call of the key-value service.
	CallLimit time.Duration
	// CommitItems is how many results are committed at once.
	CommitItems int
	// CommitLeast is how many results are committed once the oldest is
	// CommitInterval old.
	CommitLeast int
	// CommitInterval is the age at which CommitLeast results are committed.
	CommitInterval time.Duration
	// CommitMost is the age at which any result is committed, so that a slow
	// job costs few calls for each item too.
	CommitMost time.Duration
	// BufferItems bounds the results that wait for a commit in an outage.
	BufferItems int
	// InlineBytes is the size of results kept in the record itself.
	InlineBytes int
	// ItemLease is how long a sidecar keeps an item without a sign of life.
	ItemLease time.Duration
	// StartedGrace is how long a new owner waits for the answer of a
	// non-idempotent item that an earlier one let start.
	StartedGrace time.Duration
	// Attempts is how often an item may break its backend server on its own.
	Attempts int
	// Breaks is how often an item may break at all.
	Breaks int
	// BreakPause is the time before a broken item runs again, for each break.
	BreakPause time.Duration
	// IndexGrace is how long an index entry may lack its record.
	IndexGrace time.Duration
	// Retain is how long an ended job and its results are kept.
	Retain time.Duration
	// StayMargin is how much earlier another job must be due to draw a
	// sidecar away from the job whose prompt prefix it has cached.
	StayMargin time.Duration
}

// DefaultSettings are the defaults of an entry's settings.
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
