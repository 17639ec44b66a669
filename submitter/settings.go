package submitter

import "time"

// Settings holds the limits and timeouts of the batch API.
type Settings struct {
	// MaxItems limits the items of one file, and so of one job.
	MaxItems int
	// MaxLineBytes limits one line of a file.
	MaxLineBytes int
	// MaxFileBytes limits one file.
	MaxFileBytes int64
	// ChunkBytes is the size of one segment of a file before compression.
	ChunkBytes int
	// InlineBytes is the compressed size up to which a file is stored within its
	// record.
	InlineBytes int
	// MaxDue limits the time from now until a job's deadline.
	MaxDue time.Duration
	// CallLimit is the timeout of reading or writing a record in the key-value
	// service.
	CallLimit time.Duration
	// CancelWait is how long a cancellation waits for the job's end before it is
	// answered with the status cancelling.
	CancelWait time.Duration
}

// DefaultSettings returns the defaults of an entry's settings.
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
