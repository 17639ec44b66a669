package editor

import (
	"time"

	"limpetrail/classifier"
	"limpetrail/keeper"
)

// Edit is a change that an operator wants.
type Edit struct {
	Operator string
	// Revision is the one that the operator read and changed.
	Revision keeper.Revision
	Document *Document
	// Mark is unique to the edit. A client that sends an edit again gives the
	// same mark and gets the same answer.
	Mark string
	// DryRun checks and compares without writing.
	DryRun bool
}

// Verdict is what became of an edit.
type Verdict string

// Verdicts of edits.
const (
	// VerdictApplied means that the edit is in the document.
	VerdictApplied Verdict = "Applied"
	// VerdictUnchanged means that the document says so already.
	VerdictUnchanged Verdict = "Unchanged"
	// VerdictPassed means that a dry run would have been applied.
	VerdictPassed Verdict = "Passed"
	// VerdictInvalid means that the merged document has faults.
	VerdictInvalid Verdict = "Invalid"
	// VerdictConflict means that another operator changed the same field.
	VerdictConflict Verdict = "Conflict"
	// VerdictForbidden means that the operator may not change these parts.
	VerdictForbidden Verdict = "Forbidden"
	// VerdictStale means that the revision that was read is too old to merge.
	VerdictStale Verdict = "Stale"
	// VerdictUnavailable means that the key-value service is away and the
	// edit was not written.
	VerdictUnavailable Verdict = "Unavailable"
	// VerdictUnknown means that the edit may have been written: the service
	// went away before the answer. Its mark tells later.
	VerdictUnknown Verdict = "Unknown"
)

// Result tells an operator what became of an edit.
type Result struct {
	Verdict Verdict
	// Revision is the first known to hold the edit, or the one compared with.
	Revision    keeper.Revision
	Mark        string             `json:",omitempty"`
	Reason      string             `json:",omitempty"`
	Differences []Difference       `json:",omitempty"`
	Faults      []classifier.Fault `json:",omitempty"`
	Conflicts   []Conflict         `json:",omitempty"`
	// RetryAfter is when to come back; zero when there is no use in it.
	RetryAfter time.Duration `json:",omitempty"`
}

// Accepted tells whether the edit is in the document or would be.
func (result Result) Accepted() bool {
	switch result.Verdict {
	case VerdictApplied, VerdictUnchanged, VerdictPassed:
		return true
	default:
		return false
	}
}
