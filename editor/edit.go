package editor

import (
	"time"

	"limpetrail/classifier"
	"limpetrail/keeper"
)

// Edit is a document that an operator submits to replace the current one.
type Edit struct {
	Operator string
	// Revision is the revision that the operator read and changed.
	Revision keeper.Revision
	Document *Document
	// Mark is unique to the edit, as an idempotency key: a client that retries
	// an edit sends the same mark, and the edit is applied only once.
	Mark string
	// DryRun validates the edit and compares the documents without writing.
	DryRun bool
}

// Verdict is the outcome of an edit.
type Verdict string

// Verdicts of edits.
const (
	// VerdictApplied means that the edit is in the document.
	VerdictApplied Verdict = "Applied"
	// VerdictUnchanged means that the document already includes the edit.
	VerdictUnchanged Verdict = "Unchanged"
	// VerdictPassed means that the edit was a dry run and could be applied.
	VerdictPassed Verdict = "Passed"
	// VerdictInvalid means that the merged document has faults.
	VerdictInvalid Verdict = "Invalid"
	// VerdictConflict means that another operator changed the same field.
	VerdictConflict Verdict = "Conflict"
	// VerdictForbidden means that the operator may not change these parts.
	VerdictForbidden Verdict = "Forbidden"
	// VerdictStale means that the revision that was read is too old to merge.
	VerdictStale Verdict = "Stale"
	// VerdictUnavailable means that the edit was not written because the
	// key-value service was unavailable or too many other edits came first.
	VerdictUnavailable Verdict = "Unavailable"
	// VerdictUnknown means that the edit may have been written: the key-value
	// service failed before it answered. A retry with the same mark finds out.
	VerdictUnknown Verdict = "Unknown"
)

// Result is the answer to an edit.
type Result struct {
	Verdict Verdict
	// Revision is the first revision known to include the edit, or else the one
	// that the edit was compared with.
	Revision    keeper.Revision
	Mark        string             `json:",omitempty"`
	Reason      string             `json:",omitempty"`
	Differences []Difference       `json:",omitempty"`
	Faults      []classifier.Fault `json:",omitempty"`
	Conflicts   []Conflict         `json:",omitempty"`
	// RetryAfter is how long to wait before a retry; zero when a retry cannot
	// help.
	RetryAfter time.Duration `json:",omitempty"`
}

// Accepted reports whether the edit is in the document or, after a dry run,
// could be applied.
func (result Result) Accepted() bool {
	switch result.Verdict {
	case VerdictApplied, VerdictUnchanged, VerdictPassed:
		return true
	default:
		return false
	}
}
