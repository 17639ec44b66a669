package scheduler

import (
	"bytes"
	"slices"
	"time"
)

// State is where a job stands.
type State string

// States of a job.
const (
	// Open means that items are still to be run.
	Open State = "Open"
	// Cancelling means that no further item may start.
	Cancelling State = "Cancelling"
	// Completed and Cancelled are final.
	Completed State = "Completed"
	Cancelled State = "Cancelled"
	// Expired marks a record whose job never came to be or is no longer kept.
	Expired State = "Expired"
)

// Ended tells whether nothing about the job will change.
func (state State) Ended() bool {
	return state == Completed || state == Cancelled || state == Expired
}

// Record is a job in the key-value service.
type Record struct {
	ID        string
	Firm      string
	Workspace string
	Service   string
	Adapter   string `json:",omitempty"`
	// Endpoint is the path that every item calls.
	Endpoint string
	// Path is the path at the backend server.
	Path       string
	Idempotent bool
	Plain      bool `json:",omitempty"`
	// Content identifies what was submitted, to tell a resent submission from
	// another one under the same key.
	Content string
	FileID  string
	Items   int
	Created time.Time
	Due     time.Time
	Ended   time.Time `json:",omitzero"`
	State   State
	// Epoch is the fencing number of the owner that wrote last. It only rises.
	Epoch uint64 `json:",omitempty"`
	// Owner is the entry of that epoch, for readers.
	Owner string `json:",omitempty"`
	// Writer is the unique mark of the owner's last write.
	Writer string `json:",omitempty"`
	// Done holds the items with a recorded result; it only grows.
	Done Bitmap
	// Started holds the non-idempotent items that may have left; an item is
	// in it before it leaves.
	Started Bitmap `json:",omitempty"`
	// Segments hold results in the order of their commits.
	Segments []Segment `json:",omitempty"`
	// Inline is the compressed tail of the results, not yet in a segment.
	Inline []byte `json:",omitempty"`
	Counts Counts
	// Metadata is the client's.
	Metadata map[string]string `json:",omitempty"`
}

// Segment names a stored segment.
type Segment struct {
	Name string
	// First is the index of the first item; results have no such order.
	First int `json:",omitempty"`
	Items int
}

// Counts sums up the items of a job by their recorded result.
type Counts struct {
	Answered   int
	Failed     int
	MayHaveRun int
	Cancelled  int
}

// Clone returns a copy that shares nothing that commits change.
func (record Record) Clone() Record {
	record.Done = bytes.Clone(record.Done)
	record.Started = bytes.Clone(record.Started)
	record.Segments = slices.Clone(record.Segments)

	return record
}

// Add counts a result of that fate.
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
