package editor

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/juju/errors"

	"limpetrail/classifier"
	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/recorder"
)

const (
	// editTimeout bounds an edit with all its attempts.
	editTimeout = 10 * time.Second
	// callTimeout bounds one call, so that a connection that gives no answer is
	// abandoned.
	callTimeout = time.Second
	// maxMergeAttempts bounds how often an edit is merged because other writes
	// came first.
	maxMergeAttempts = 32
	retryAfter       = 5 * time.Second
)

// Editor applies operators' edits to the document.
type Editor struct {
	kernel.Common
	Store keeper.Store
	// Written is called with each stored record that includes an applied edit,
	// whether this editor has just written the record or read it.
	Written func(revision keeper.Revision, value []byte)
}

// Option configures an Editor.
type Option func(*Editor)

// WithRecordObserver sets Editor.Written.
func WithRecordObserver(written func(revision keeper.Revision, value []byte)) Option {
	return func(editor *Editor) { editor.Written = written }
}

// NewEditor returns an editor of the document in the store.
func NewEditor(common kernel.Common, store keeper.Store, options ...Option) *Editor {
	editor := &Editor{
		Common:  common.ForPart("editor"),
		Store:   timeoutStore{Store: store},
		Written: func(keeper.Revision, []byte) {},
	}
	for _, option := range options {
		option(editor)
	}

	return editor
}

// NewMark returns a random mark that no other edit has.
func NewMark() string {
	return rand.Text()
}

// Read returns the current record and its revision.
func (editor *Editor) Read(ctx context.Context) (*Record, keeper.Revision, error) {
	entry, err := editor.Store.Get(ctx, DocumentKey)
	if err != nil {
		return nil, 0, errors.Trace(err)
	}

	record, err := DecodeRecord(entry.Value)

	return record, entry.Revision, errors.Trace(err)
}

// DocumentAt returns the document at an earlier revision. The error is NotFound when
// the history does not go back to that revision.
func (editor *Editor) DocumentAt(ctx context.Context, wanted keeper.Revision) (*Document, error) {
	record, current, err := editor.Read(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}

	if wanted > current {
		return nil, errors.NotFoundf("document of revision %d", wanted)
	}

	documentTree, err := record.treeAt(current, wanted)
	if err != nil {
		return nil, errors.Trace(err)
	}

	return documentTree.toDocument(), nil
}

// Apply merges the edit into the current document and writes it. It returns when
// the outcome of the write is known, or with VerdictUnknown when it cannot be
// found out in time.
func (editor *Editor) Apply(ctx context.Context, edit Edit) Result {
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()

	if edit.Mark == "" {
		edit.Mark = NewMark()
	}

	result := editor.apply(ctx, edit)
	result.Mark = edit.Mark
	editor.Recorder.Record(recorder.Event{
		Part:    "editor",
		Kind:    recorder.KindEdited,
		Details: []string{"Operator=" + edit.Operator, "Verdict=" + string(result.Verdict), "Mark=" + edit.Mark},
	})
	editor.Log.WithField("Operator", edit.Operator).WithField("Verdict", result.Verdict).WithField("Mark", edit.Mark).Info("Edit finished.")

	return result
}

func (editor *Editor) apply(ctx context.Context, edit Edit) Result {
	if edit.Operator == "" {
		return Result{Verdict: VerdictForbidden, Faults: []classifier.Fault{{Field: "Operator", Remedy: "name the operator"}}}
	}

	if faults := Validate(edit.Document); len(faults) > 0 {
		return Result{Verdict: VerdictInvalid, Revision: edit.Revision, Faults: faults}
	}

	for range maxMergeAttempts {
		entry, err := editor.Store.Get(ctx, DocumentKey)
		if err != nil {
			return unavailableResult(err)
		}

		record, err := DecodeRecord(entry.Value)
		if err != nil {
			return unavailableResult(err)
		}

		if record.HasMark(edit.Mark) {
			editor.Written(entry.Revision, entry.Value)

			return Result{Verdict: VerdictApplied, Revision: entry.Revision}
		}

		write, result := prepareWrite(record, entry.Revision, edit)
		if write == nil || edit.DryRun {
			return result
		}

		written, outcome, err := keeper.WriteWithRetry(ctx, editor.Store, *write)

		if outcome == keeper.WriteRefused && err != nil {
			// An earlier attempt of the same write may have taken effect.
			outcome = keeper.WriteUnknown
		}

		switch outcome {
		case keeper.WriteApplied:
			editor.Written(written.Revision, written.Value)

			return result
		case keeper.WriteUnknown:
			return Result{
				Verdict:    VerdictUnknown,
				Reason:     "the edit may have been written, the key-value service gave no answer: " + err.Error(),
				RetryAfter: retryAfter,
			}
		case keeper.WriteRefused:
			// Another write came first: read it and merge again.
		}
	}

	return Result{Verdict: VerdictUnavailable, Reason: "too many other edits at once", RetryAfter: retryAfter}
}

// prepareWrite merges the edit into the record. It returns the write and the
// result of the edit once the write is applied. The write is nil when the edit is
// refused, changes nothing or is a dry run; the result is then final.
func prepareWrite(record *Record, currentRevision keeper.Revision, edit Edit) (*keeper.ConditionalWrite, Result) {
	if edit.Revision > currentRevision {
		return nil, Result{Verdict: VerdictStale, Revision: currentRevision, Reason: "the edit names a revision that does not exist"}
	}

	base, err := record.treeAt(currentRevision, edit.Revision)
	if err != nil {
		return nil, Result{Verdict: VerdictStale, Revision: currentRevision, Reason: "the edit is too old to be merged; read the document again"}
	}

	current := newTree(record.Document)

	merged, conflicts := merge(base, newTree(edit.Document), current, nil)
	if len(conflicts) > 0 {
		return nil, Result{Verdict: VerdictConflict, Revision: currentRevision, Conflicts: conflicts}
	}

	mergedDocument := merged.toDocument()
	result := Result{Verdict: VerdictUnchanged, Revision: currentRevision, Differences: diff(current, merged, nil)}

	if len(result.Differences) == 0 {
		return nil, result
	}

	if faults := authorize(edit.Operator, current.toDocument(), mergedDocument); len(faults) > 0 {
		return nil, Result{Verdict: VerdictForbidden, Revision: currentRevision, Faults: faults}
	}

	if faults := Validate(mergedDocument); len(faults) > 0 {
		return nil, Result{Verdict: VerdictInvalid, Revision: currentRevision, Faults: faults}
	}

	if edit.DryRun {
		result.Verdict = VerdictPassed

		return nil, result
	}

	result.Verdict = VerdictApplied
	result.Revision = currentRevision + 1
	newRecord := &Record{Document: *mergedDocument, History: record.History}
	newRecord.append(Change{
		Revision:    result.Revision,
		Mark:        edit.Mark,
		Operator:    edit.Operator,
		Time:        time.Now().UTC(),
		Differences: result.Differences,
	})

	return &keeper.ConditionalWrite{
		Key:      DocumentKey,
		Revision: currentRevision,
		Value:    encodeJSON(newRecord),
		IsOwnWrite: func(value []byte) bool {
			stored, err := DecodeRecord(value)

			return err == nil && stored.HasMark(edit.Mark)
		},
	}, result
}

func unavailableResult(err error) Result {
	return Result{
		Verdict:    VerdictUnavailable,
		Reason:     "the key-value service gave no answer; nothing was written: " + err.Error(),
		RetryAfter: retryAfter,
	}
}
