package scheduler

import (
	"bytes"
	"slices"
	"time"
)

// State is the state of a job.
type State string

// States of a job.
const (
	// Open means that items remain to be run.
	Open State = "Open"
	// Cancelling means that no further item may start.
	Cancelling State = "Cancelling"
	// Completed means that all items have a result. It is final.
	Completed State = "Completed"
	// Cancelled means that the job ended with items without a result. It is
	// final.
	Cancelled State = "Cancelled"
	// Expired marks a record whose job was never created or is no longer kept.
	Expired State = "Expired"
)

// Ended returns whether the state is final.
func (state State) Ended() bool {
	return state == Completed || state == Cancelled || state == Expired
}

// Record is the stored record of a job.
type Record struct {
	ID        string
	Firm      string
	Workspace string
	Service   string
	Adapter   string `json:",omitempty"`
	// Endpoint is the path that every item calls.
	Endpoint string
	// Path is the request path at the backend server.
	Path       string
	Idempotent bool
	// Plain marks a job of a plain service, as opposed to a model engine.
	Plain bool `json:",omitempty"`
	// Content identifies the content of the submission, to distinguish a
	// repeated submission from a different one with the same idempotency key.
	Content string
	FileID  string
	Items   int
	Created time.Time
	Due     time.Time
	Ended   time.Time `json:",omitzero"`
	State   State
	// Epoch is the fencing number of the owner that wrote last. It never
	// decreases.
	Epoch uint64 `json:",omitempty"`
	// Owner is the name of the entry with that epoch, for information only.
	Owner string `json:",omitempty"`
	// Writer is the unique ID of the owner's last write.
	Writer string `json:",omitempty"`
	// Done is the set of items with a recorded result. Items are never removed
	// from it.
	Done Bitmap
	// Started is the set of non-idempotent items that may have been sent to a
	// sidecar. An item is added before it is sent.
	Started Bitmap `json:",omitempty"`
	// Segments store results in the order of their commits.
	Segments []Segment `json:",omitempty"`
	// Inline is the latest results, compressed, which are not in a segment yet.
	Inline []byte `json:",omitempty"`
	Counts Counts
	// Metadata is supplied by the client.
	Metadata map[string]string `json:",omitempty"`
}

// Segment refers to a stored segment of a file or of the results of a job.
type Segment struct {
	Name string
	// First is the index of the first item in a segment of a file; unused for
	// results, which are not in the order of the items.
	First int `json:",omitempty"`
	Items int
}

// Counts are the numbers of items of a job by recorded result.
type Counts struct {
	Answered   int
	Failed     int
	MayHaveRun int
	Cancelled  int
}

// Clone returns a copy that shares no memory that a commit modifies.
func (record Record) Clone() Record {
	record.Done = bytes.Clone(record.Done)
	record.Started = bytes.Clone(record.Started)
	record.Segments = slices.Clone(record.Segments)

	return record
}

// Add counts a result with the fate.
func (counts *Counts) Add(fate ItemFate) {
	switch fate {
	case ItemAnswered:
		counts.Answered++
	case ItemFailed:
		counts.Failed++
	case ItemMayHaveRun:
		counts.MayHaveRun++
	}
}
