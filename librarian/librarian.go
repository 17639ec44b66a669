package librarian

import (
	"context"
	"sync"
	"time"

	"limpetrail/bookkeeper"
	"limpetrail/kernel"
)

// Librarian holds the records of jobs that were asked for here or are owned.
type Librarian struct {
	kernel.Common
	Ledger bookkeeper.Ledger
	// Process names this start of the process as an owner of jobs.
	Process string
	// Owns tells whether this process certainly knows all listed results of a job,
	// because it alone can list them.
	Owns func(id string) bool
	// Absent tells whether a job that the service does not have is kept nowhere
	// else.
	Absent func(ctx context.Context, id string) bool
	// Inquirer is nil where other owners cannot be asked.
	Inquirer Inquirer

	mutex   sync.Mutex
	records map[string]*Record
	// heads is the last copy of all heads. It is replaced, never changed.
	heads  map[string]bookkeeper.Version
	unread *kernel.LineBudget
}

// NewLibrarian returns a librarian that knows no job.
func NewLibrarian(common kernel.Common, ledger bookkeeper.Ledger, process string, owns func(id string) bool, absent func(ctx context.Context, id string) bool) *Librarian {
	return &Librarian{
		Common:  common.ForPart("librarian"),
		Ledger:  ledger,
		Process: process,
		Owns:    owns,
		Absent:  absent,
		records: map[string]*Record{},
		heads:   map[string]bookkeeper.Version{},
		unread:  kernel.NewLineBudget(unreadInterval),
	}
}

// SetHeads takes in the heads of all jobs.
func (librarian *Librarian) SetHeads(heads map[string]bookkeeper.Version) {
	librarian.mutex.Lock()
	defer librarian.mutex.Unlock()

	librarian.heads = heads

	for id, head := range heads {
		if record := librarian.records[id]; record != nil {
			record.SetHead(head)
		}
	}
}

// Heads returns the last copy of all heads, which must not be changed.
func (librarian *Librarian) Heads() map[string]bookkeeper.Version {
	librarian.mutex.Lock()
	defer librarian.mutex.Unlock()

	return librarian.heads
}

// Knows tells whether the job is certain to exist.
func (librarian *Librarian) Knows(id string) bool {
	record := librarian.peek(id)

	return librarian.Heads()[id].Revision > 0 || record != nil && record.Head().Revision > 0
}

// Record returns the record of a job, a new one if there is none.
func (librarian *Librarian) Record(id string) *Record {
	librarian.mutex.Lock()
	defer librarian.mutex.Unlock()

	found := librarian.records[id]
	if found == nil {
		found = newRecord(id)
		librarian.records[id] = found
	}

	return found
}

// peek returns the record of a job, or nil.
func (librarian *Librarian) peek(id string) *Record {
	librarian.mutex.Lock()
	defer librarian.mutex.Unlock()

	return librarian.records[id]
}

// Find returns the record of a job that exists.
func (librarian *Librarian) Find(ctx context.Context, id string) (*Record, bookkeeper.Outcome) {
	if found := librarian.peek(id); found != nil && found.Head().Revision > 0 {
		return found, bookkeeper.OK
	}

	head, listed := librarian.Heads()[id]
	if !listed {
		var outcome bookkeeper.Outcome

		head, outcome = librarian.lookUp(ctx, id)
		if outcome != bookkeeper.OK {
			return nil, outcome
		}
	}

	found := librarian.Record(id)
	found.SetHead(head)

	return found, bookkeeper.OK
}

// lookUp reads the head of a job from the service. Custodians bring their jobs
// into it before they drop them, so after they were asked it is read again.
func (librarian *Librarian) lookUp(ctx context.Context, id string) (bookkeeper.Version, bookkeeper.Outcome) {
	for _, last := range []bool{false, true} {
		head, err := librarian.Ledger.Head(ctx, id)
		if err != nil {
			return head, bookkeeper.NotDone
		}

		if head.Revision > 0 {
			return head, bookkeeper.OK
		}

		if !last && !librarian.Absent(ctx, id) {
			return head, bookkeeper.NotDone
		}
	}

	return bookkeeper.Version{}, bookkeeper.NotFound
}

// Forget drops the records that nobody has asked for in a time, but those that
// are to be kept.
func (librarian *Librarian) Forget(unused time.Duration, kept map[string]bool) {
	librarian.mutex.Lock()
	defer librarian.mutex.Unlock()

	for id, record := range librarian.records {
		if record.unused(unused) && !kept[id] {
			delete(librarian.records, id)
		}
	}
}
