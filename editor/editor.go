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
	// callTimeout bounds one call, so that a silent connection is left.
	callTimeout = time.Second
	// maxRaces bounds how often an edit is merged again after other writes.
	maxRaces   = 32
	retryAfter = 5 * time.Second
)

// Editor brings operators' edits into the document.
type Editor struct {
	kernel.Common
	Store keeper.Store
	// Written is told of each record that this editor has written or read.
	Written func(revision keeper.Revision, value []byte)
}

// Option changes an Editor at construction.
type Option func(*Editor)

// WithWritten sets who is told of written records.
func WithWritten(written func(revision keeper.Revision, value []byte)) Option {
	return func(editor *Editor) { editor.Written = written }
}

// NewEditor returns an editor of the document in the store.
func NewEditor(common kernel.Common, store keeper.Store, options ...Option) *Editor {
	editor := &Editor{
		Common:  common.ForPart("editor"),
		Store:   timedStore{Store: store},
		Written: func(keeper.Revision, []byte) {},
	}
	for _, option := range options {
		option(editor)
	}

	return editor
}

// NewMark returns a mark that no other edit has.
func NewMark() string {
	return rand.Text()
}

// Read returns the present record and its revision.
func (editor *Editor) Read(ctx context.Context) (*Record, keeper.Revision, error) {
	entry, err := editor.Store.Get(ctx, DocumentKey)
	if err != nil {
		return nil, 0, errors.Trace(err)
	}

	record, err := DecodeRecord(entry.Value)

	return record, entry.Revision, errors.Trace(err)
}

// At returns the document at a revision that the history still reaches; the
// error is NotFound when it does not.
func (editor *Editor) At(ctx context.Context, wanted keeper.Revision) (*Document, error) {
	record, present, err := editor.Read(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}

	if wanted > present {
		return nil, errors.NotFoundf("document of revision %d", wanted)
	}

	document, err := record.at(present, wanted)
	if err != nil {
		return nil, errors.Trace(err)
	}

	return document.document(), nil
}

// Apply merges the edit into the present document and writes it. It tells
// nothing before the fate of the write is settled, or known to be unknown.
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
	editor.Log.WithField("Operator", edit.Operator).WithField("Verdict", result.Verdict).WithField("Mark", edit.Mark).Info("Edit settled.")

	return result
}

func (editor *Editor) apply(ctx context.Context, edit Edit) Result {
	if edit.Operator == "" {
		return Result{Verdict: VerdictForbidden, Faults: []classifier.Fault{{Field: "Operator", Remedy: "name the operator"}}}
	}

	if faults := Validate(edit.Document); len(faults) > 0 {
		return Result{Verdict: VerdictInvalid, Revision: edit.Revision, Faults: faults}
	}

	for range maxRaces {
		entry, err := editor.Store.Get(ctx, DocumentKey)
		if err != nil {
			return unavailable(err)
		}

		record, err := DecodeRecord(entry.Value)
		if err != nil {
			return unavailable(err)
		}

		if record.Holds(edit.Mark) {
			editor.Written(entry.Revision, entry.Value)

			return Result{Verdict: VerdictApplied, Revision: entry.Revision}
		}

		proposal, result := propose(record, entry.Revision, edit)
		if proposal == nil || edit.DryRun {
			return result
		}

		written, applied, err := keeper.WriteWithRetry(ctx, editor.Store, *proposal)

		if applied == keeper.WriteRefused && err != nil {
			// An earlier attempt of the same write may have taken effect.
			applied = keeper.WriteUnknown
		}

		switch applied {
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
			// Another write came first: merge with it.
		}
	}

	return Result{Verdict: VerdictUnavailable, Reason: "too many other edits at once", RetryAfter: retryAfter}
}

// propose merges the edit into the record. The proposal is nil when there is
// nothing to write; the result holds once the proposal was written.
func propose(record *Record, present keeper.Revision, edit Edit) (*keeper.ConditionalWrite, Result) {
	if edit.Revision > present {
		return nil, Result{Verdict: VerdictStale, Revision: present, Reason: "the edit names a revision that does not exist"}
	}

	base, err := record.at(present, edit.Revision)
	if err != nil {
		return nil, Result{Verdict: VerdictStale, Revision: present, Reason: "the edit is too old to be merged; read the document again"}
	}

	theirs := newTree(record.Document)

	merged, conflicts := merge(base, newTree(edit.Document), theirs, nil)
	if len(conflicts) > 0 {
		return nil, Result{Verdict: VerdictConflict, Revision: present, Conflicts: conflicts}
	}

	document := merged.document()
	result := Result{Verdict: VerdictUnchanged, Revision: present, Differences: diff(theirs, merged, nil)}

	if len(result.Differences) == 0 {
		return nil, result
	}

	if faults := authorize(edit.Operator, theirs.document(), document); len(faults) > 0 {
		return nil, Result{Verdict: VerdictForbidden, Revision: present, Faults: faults}
	}

	if faults := Validate(document); len(faults) > 0 {
		return nil, Result{Verdict: VerdictInvalid, Revision: present, Faults: faults}
	}

	if edit.DryRun {
		result.Verdict = VerdictPassed

		return nil, result
	}

	result.Verdict = VerdictApplied
	result.Revision = present + 1
	next := &Record{Document: *document, History: record.History}
	next.append(Change{
		Revision:    result.Revision,
		Mark:        edit.Mark,
		Operator:    edit.Operator,
		Time:        time.Now().UTC(),
		Differences: result.Differences,
	})

	return &keeper.ConditionalWrite{
		Key:      DocumentKey,
		Revision: present,
		Value:    encodeJSON(next),
		IsOwnWrite: func(value []byte) bool {
			settled, err := DecodeRecord(value)

			return err == nil && settled.Holds(edit.Mark)
		},
	}, result
}

func unavailable(err error) Result {
	return Result{
		Verdict:    VerdictUnavailable,
		Reason:     "the key-value service gave no answer; nothing was written: " + err.Error(),
		RetryAfter: retryAfter,
	}
}
