package librarian

import (
	"context"
	"sync"
	"time"

	"limpetrail/bookkeeper"
	"limpetrail/kernel"
)

// Librarian caches the records of jobs that this process owns or was asked for.
type Librarian struct {
	kernel.Common
	Ledger bookkeeper.Ledger
	// ProcessID identifies this incarnation of the process as an owner of jobs.
	ProcessID string
	// IsSoleWriter tells whether only this process can commit results of a job, so that
	// its record certainly holds all committed results.
	IsSoleWriter func(id string) bool
	// ConfirmAbsent tells whether a job that the key-value service does not have is
	// certainly not stored by a custodian either, or not one that the reader may read.
	ConfirmAbsent func(ctx context.Context, id string, reader bookkeeper.Reader) bool
	// Inquirer is nil if other processes cannot be asked.
	Inquirer Inquirer

	mutex   sync.Mutex
	records map[string]*Record
	// heads is the latest copy of the heads of all jobs. The map is replaced, never
	// modified.
	heads map[string]bookkeeper.VersionedHead
	// readFailureLog limits the log lines about failed reads.
	readFailureLog *kernel.LogLimiter
}

// NewLibrarian returns a librarian without records.
func NewLibrarian(common kernel.Common, ledger bookkeeper.Ledger, processID string, isSoleWriter func(id string) bool, confirmAbsent func(ctx context.Context, id string, reader bookkeeper.Reader) bool) *Librarian {
	return &Librarian{
		Common:         common.ForPart("librarian"),
		Ledger:         ledger,
		ProcessID:      processID,
		IsSoleWriter:   isSoleWriter,
		ConfirmAbsent:  confirmAbsent,
		records:        map[string]*Record{},
		heads:          map[string]bookkeeper.VersionedHead{},
		readFailureLog: kernel.NewLogLimiter(readFailureLogInterval),
	}
}

// SetHeads replaces the copy of the heads of all jobs and updates the records.
func (librarian *Librarian) SetHeads(heads map[string]bookkeeper.VersionedHead) {
	librarian.mutex.Lock()
	defer librarian.mutex.Unlock()

	librarian.heads = heads

	for id, head := range heads {
		if record := librarian.records[id]; record != nil {
			record.SetHead(head)
		}
	}
}

// Heads returns the latest copy of the heads of all jobs. The caller must not modify it.
func (librarian *Librarian) Heads() map[string]bookkeeper.VersionedHead {
	librarian.mutex.Lock()
	defer librarian.mutex.Unlock()

	return librarian.heads
}

// KnownHead returns the head of a job that certainly exists. Its revision is 0 if none is known here.
func (librarian *Librarian) KnownHead(id string) bookkeeper.VersionedHead {
	if record := librarian.peek(id); record != nil && record.Head().Revision > 0 {
		return record.Head()
	}

	return librarian.Heads()[id]
}

// Record returns the record of a job. It creates one if there is none.
func (librarian *Librarian) Record(id string) *Record {
	librarian.mutex.Lock()
	defer librarian.mutex.Unlock()

	record := librarian.records[id]
	if record == nil {
		record = newRecord(id)
		librarian.records[id] = record
	}

	return record
}

// peek returns the record of a job, or nil.
func (librarian *Librarian) peek(id string) *Record {
	librarian.mutex.Lock()
	defer librarian.mutex.Unlock()

	return librarian.records[id]
}

// Find returns the record of a job. It reads the job's head if there is none here.
func (librarian *Librarian) Find(ctx context.Context, id string) (*Record, bookkeeper.Outcome) {
	return librarian.FindFor(ctx, id, bookkeeper.Reader{})
}

// FindFor is Find for a reader, to whom jobs that it may not read do not exist: they are looked up like
// unknown ones, so that the outcome is the same while the key-value service is away, too.
func (librarian *Librarian) FindFor(ctx context.Context, id string, reader bookkeeper.Reader) (*Record, bookkeeper.Outcome) {
	if record := librarian.peek(id); record != nil && isReadable(record.Head(), reader) {
		return record, bookkeeper.OK
	}

	head := librarian.Heads()[id]
	if !isReadable(head, reader) {
		var outcome bookkeeper.Outcome

		head, outcome = librarian.lookUp(ctx, id, reader)
		if outcome != bookkeeper.OK {
			return nil, outcome
		}
	}

	record := librarian.Record(id)
	record.SetHead(head)

	return record, bookkeeper.OK
}

// isReadable reports whether the head exists and the reader may read its job.
func isReadable(head bookkeeper.VersionedHead, reader bookkeeper.Reader) bool {
	return head.Revision > 0 && reader.MayRead(head.Workspace)
}

// lookUp reads the head of a job from the key-value service. If there is none that the reader may
// read, it asks the custodians and then reads again: they drop a job only after its delivery, so it
// may have been delivered in between.
func (librarian *Librarian) lookUp(ctx context.Context, id string, reader bookkeeper.Reader) (bookkeeper.VersionedHead, bookkeeper.Outcome) {
	for _, secondRead := range []bool{false, true} {
		head, err := librarian.Ledger.Head(ctx, id)
		if err != nil {
			return head, bookkeeper.NotDone
		}

		if isReadable(head, reader) {
			return head, bookkeeper.OK
		}

		if !secondRead && !librarian.ConfirmAbsent(ctx, id, reader) {
			return head, bookkeeper.NotDone
		}
	}

	return bookkeeper.VersionedHead{}, bookkeeper.NotFound
}

// DropUnused drops the records that were not used for the given time, except those of
// the jobs to keep.
func (librarian *Librarian) DropUnused(maxIdle time.Duration, keep map[string]bool) {
	librarian.mutex.Lock()
	defer librarian.mutex.Unlock()

	for id, record := range librarian.records {
		if record.isUnused(maxIdle) && !keep[id] {
			delete(librarian.records, id)
		}
	}
}
