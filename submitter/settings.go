package submitter

import "time"

// Settings bound what callers may submit.
type Settings struct {
	// MaxItems bounds the items of one job.
	MaxItems int
	// MaxLineBytes bounds one line of a file.
	MaxLineBytes int
	// MaxFileBytes bounds a file.
	MaxFileBytes int64
	// ChunkBytes is the size of one segment of a file before compression.
	ChunkBytes int
	// InlineBytes is the compressed size up to which a file lies in its
	// record.
	InlineBytes int
	// MaxDue is the furthest due time from now.
	MaxDue time.Duration
	// CallLimit bounds the calls of the key-value service for one request.
	CallLimit time.Duration
	// CancelWait is how long a cancellation waits for the job's end before it
	// is answered as under way.
	CancelWait time.Duration
}

// DefaultSettings are the defaults of an entry's settings.
func DefaultSettings() Settings {
	return Settings{
		MaxItems:     130_000,
		MaxLineBytes: 1 << 20,
		MaxFileBytes: 512 << 20,
		ChunkBytes:   1 << 20,
		InlineBytes:  64 << 10,
		MaxDue:       14 * 24 * time.Hour,
		CallLimit:    10 * time.Second,
		CancelWait:   3 * time.Second,
	}
}
