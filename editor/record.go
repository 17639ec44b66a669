package editor

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"limpetrail/keeper"
)

// DocumentKey is the key of the record in the key-value service.
const DocumentKey = "limpetrail/document"

const (
	// maxHistoryBytes bounds the stored size of the history. The rest of the
	// value is left to the document.
	maxHistoryBytes = 128 << 10
	// maxChanges bounds the number of changes that the history keeps.
	maxChanges = 64
	// maxChangeBytes bounds the stored size of one change's differences.
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
	// Revision is the revision that this change created.
	Revision keeper.Revision
	// Mark is unique to the edit; a retry recognises its own change by it.
	Mark     string
	Operator string
	// Time is the wall-clock time of the entry that wrote the change. It is only
	// displayed.
	Time        time.Time
	Differences []Difference
	// Truncated is set when the differences exceeded maxChangeBytes and were
	// dropped.
	Truncated bool `json:",omitempty"`
}

// DecodeRecord parses a value of the key-value service; an empty value is an
// empty record. Unknown fields, written by a later version, are ignored.
func DecodeRecord(value []byte) (*Record, error) {
	record := &Record{}
	if len(value) == 0 {
		return record, nil
	}

	return record, errors.Annotate(json.Unmarshal(value, record), "decoding the document")
}

// HasMark reports whether the history includes the change with the mark.
func (record *Record) HasMark(mark string) bool {
	for _, change := range record.History {
		if change.Mark == mark {
			return true
		}
	}

	return false
}

// append adds a change to the history and drops the oldest changes that exceed
// its limits.
func (record *Record) append(change Change) {
	if encodedSize(change.Differences) > maxChangeBytes {
		change.Differences = nil
		change.Truncated = true
	}

	record.History = append(record.History, change)

	for len(record.History) > maxChanges || encodedSize(record.History) > maxHistoryBytes {
		record.History = record.History[1:]
	}
}

// treeAt returns the document as it was at an earlier revision. The error is
// NotFound when the history does not go back that far.
func (record *Record) treeAt(current, wanted keeper.Revision) (*tree, error) {
	documentTree := newTree(record.Document)

	for index := len(record.History) - 1; current > wanted; index-- {
		if index < 0 || record.History[index].Revision != current || record.History[index].Truncated {
			return nil, errors.NotFoundf("document of revision %d", wanted)
		}

		documentTree.revert(record.History[index].Differences)
		current--
	}

	return documentTree, nil
}

// encodedSize returns the number of bytes of the value in JSON.
func encodedSize(value any) int {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("editor: value cannot be encoded: " + err.Error())
	}

	return len(encoded)
}
