package editor

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"limpetrail/keeper"
)

// DocumentKey is where the record lies in the key-value service.
const DocumentKey = "limpetrail/document"

const (
	// maxHistoryBytes bounds the history as it is stored. The rest of the
	// value is the document's.
	maxHistoryBytes = 128 << 10
	// maxChanges bounds the number of changes that the history keeps.
	maxChanges = 64
	// maxChangeBytes bounds the differences kept of one change.
	maxChangeBytes = 32 << 10
	// MaxDocumentBytes is the largest document that is accepted.
	MaxDocumentBytes = keeper.MaxValueBytes - maxHistoryBytes
)

// Record is the value in the key-value service: the document and its recent
// changes. A bare document is a record without history.
type Record struct {
	Document
	// History holds the newest changes, oldest first, within maxChanges and
	// maxHistoryBytes.
	History []Change `json:",omitempty"`
}

// Change is one accepted edit.
type Change struct {
	// Revision is the one that this change made.
	Revision keeper.Revision
	// Mark is unique to the edit; its writer recognises the change by it.
	Mark     string
	Operator string
	// Time is the wall clock of the entry that wrote the change, for people.
	Time        time.Time
	Differences []Difference
	// Truncated tells that the differences were too many to be kept.
	Truncated bool `json:",omitempty"`
}

// DecodeRecord reads a value of the key-value service; an empty value is an
// empty record. Fields of a later version are passed over.
func DecodeRecord(value []byte) (*Record, error) {
	record := &Record{}
	if len(value) == 0 {
		return record, nil
	}

	return record, errors.Annotate(json.Unmarshal(value, record), "decoding the document")
}

// Holds tells whether the change with the mark is in the history.
func (record *Record) Holds(mark string) bool {
	for _, change := range record.History {
		if change.Mark == mark {
			return true
		}
	}

	return false
}

// append adds a change and drops the oldest ones above the bounds.
func (record *Record) append(change Change) {
	if size(change.Differences) > maxChangeBytes {
		change.Differences = nil
		change.Truncated = true
	}

	record.History = append(record.History, change)

	for len(record.History) > maxChanges || size(record.History) > maxHistoryBytes {
		record.History = record.History[1:]
	}
}

// at returns the document as it was at an earlier revision, or a NotFound
// error when the history does not reach back that far.
func (record *Record) at(present, wanted keeper.Revision) (*tree, error) {
	document := newTree(record.Document)

	for index := len(record.History) - 1; present > wanted; index-- {
		if index < 0 || record.History[index].Revision != present || record.History[index].Truncated {
			return nil, errors.NotFoundf("document of revision %d", wanted)
		}

		document.undo(record.History[index].Differences)
		present--
	}

	return document, nil
}

// size returns the length of the value as JSON.
func size(value any) int {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("editor: value cannot be encoded: " + err.Error())
	}

	return len(encoded)
}
