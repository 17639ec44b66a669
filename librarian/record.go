package librarian

import (
	"context"
	"sync"
	"time"

	"limpetrail/bookkeeper"
)

// Record is the cached state of a job.
type Record struct {
	ID string

	mutex sync.Mutex
	head  bookkeeper.VersionedHead
	// items is nil until the items are read or set.
	items []bookkeeper.Item
	// results are the committed results by position, without gaps.
	results []bookkeeper.Result
	// joiner holds the fragments of the next result, if some of them were read.
	joiner bookkeeper.Joiner
	// segmentCount is the number of segments that the results were read from.
	segmentCount int
	// changed is closed and replaced when results are added or the head changes.
	changed chan struct{}
	// lastUsed is when the record was created or a page was last read from it.
	lastUsed time.Time
	// readMutex serialises reads from the key-value service, so that concurrent readers
	// share one read.
	readMutex sync.Mutex
	// lastReadStarted is when the last successful read started.
	lastReadStarted time.Time
}

func newRecord(id string) *Record {
	return &Record{ID: id, changed: make(chan struct{}), lastUsed: time.Now()}
}

// Page returns results starting at a position: at least one if there is one, and not
// more than maxPageBytes unless the first is larger. It also returns the total number
// of items, and a channel that is closed when the record changes.
func (record *Record) Page(after int) ([]bookkeeper.Result, int, <-chan struct{}) {
	record.mutex.Lock()
	defer record.mutex.Unlock()

	record.lastUsed = time.Now()

	if after >= len(record.results) {
		return nil, record.head.Total, record.changed
	}

	size, end := 0, after
	for end < len(record.results) && (end == after || size+len(record.results[end].Output) <= maxPageBytes) {
		size += len(record.results[end].Output)
		end++
	}

	return record.results[after:end:end], record.head.Total, record.changed
}

// maxPageBytes leaves space for names and escapes in an answer of 1 MB.
const maxPageBytes = 600 << 10

// IsComplete tells whether the record holds the results of all items.
func (record *Record) IsComplete() bool {
	record.mutex.Lock()
	defer record.mutex.Unlock()

	return record.head.Total > 0 && len(record.results) == record.head.Total
}

// SetHead replaces the head unless the present one is as new or newer.
func (record *Record) SetHead(head bookkeeper.VersionedHead) {
	record.mutex.Lock()
	defer record.mutex.Unlock()

	if head.Revision <= record.head.Revision {
		return
	}

	record.head = head
	record.notify()
}

// AddSegments appends segments, the first of which has the number from. It skips those
// that do not follow directly on the results in the record.
func (record *Record) AddSegments(from int, segments []bookkeeper.Segment) error {
	record.mutex.Lock()
	defer record.mutex.Unlock()

	for index, segment := range segments {
		if from+index != record.segmentCount || segment.First != len(record.results) {
			continue
		}

		results, err := record.joiner.Results(segment)
		if err != nil {
			return err
		}

		record.results = append(record.results, results...)
		record.segmentCount++
	}

	record.notify()

	return nil
}

// notify wakes waiting readers. The caller holds the mutex.
func (record *Record) notify() {
	close(record.changed)
	record.changed = make(chan struct{})
}

// Head returns the newest head that was set. Its revision is 0 if there is none.
func (record *Record) Head() bookkeeper.VersionedHead {
	record.mutex.Lock()
	defer record.mutex.Unlock()

	return record.head
}

// Refresh reads new segments from the key-value service, unless the last read started
// less than maxAge before this call.
func (record *Record) Refresh(ctx context.Context, ledger bookkeeper.Ledger, maxAge time.Duration) error {
	called := time.Now()

	record.readMutex.Lock()
	defer record.readMutex.Unlock()

	if record.lastReadStarted.After(called.Add(-maxAge)) {
		return nil
	}

	record.mutex.Lock()
	from := record.segmentCount
	record.mutex.Unlock()

	started := time.Now()

	segments, err := ledger.Segments(ctx, record.ID, from)
	if err != nil {
		return err
	}

	if err := record.AddSegments(from, segments); err != nil {
		return err
	}

	record.lastReadStarted = started

	return nil
}

// LoadItems returns the items. It reads them from the key-value service the first time.
func (record *Record) LoadItems(ctx context.Context, ledger bookkeeper.Ledger) ([]bookkeeper.Item, error) {
	record.readMutex.Lock()
	defer record.readMutex.Unlock()

	record.mutex.Lock()
	items := record.items
	record.mutex.Unlock()

	if items != nil {
		return items, nil
	}

	items, err := ledger.Items(ctx, record.ID)
	if err != nil {
		return nil, err
	}

	record.mutex.Lock()
	defer record.mutex.Unlock()

	record.items = items

	return items, nil
}

// SetItems sets the items of a job that was received from a caller or another process,
// so that they need not be read.
func (record *Record) SetItems(items []bookkeeper.Item) {
	record.mutex.Lock()
	defer record.mutex.Unlock()

	if record.items == nil {
		record.items = items
	}
}

// UncommittedItems returns the items without a committed result.
func (record *Record) UncommittedItems() []bookkeeper.Item {
	committed := record.CommittedIDs()

	record.mutex.Lock()
	defer record.mutex.Unlock()

	uncommitted := []bookkeeper.Item{}

	for _, item := range record.items {
		if !committed[item.ID] {
			uncommitted = append(uncommitted, item)
		}
	}

	return uncommitted
}

// CommittedIDs returns the set of the IDs of items with a committed result.
func (record *Record) CommittedIDs() map[string]bool {
	record.mutex.Lock()
	defer record.mutex.Unlock()

	committed := map[string]bool{}
	for _, result := range record.results {
		committed[result.ID] = true
	}

	return committed
}

// NextSegment is where the next segment of a job is to be committed.
type NextSegment struct {
	Head bookkeeper.VersionedHead
	// Number is the number of the next segment.
	Number int
	// Position is the position of its first result.
	Position int
}

// NextSegment returns where the next segment is to be committed, according to this record.
func (record *Record) NextSegment() NextSegment {
	record.mutex.Lock()
	defer record.mutex.Unlock()

	return NextSegment{Head: record.head, Number: record.segmentCount, Position: len(record.results)}
}

// isUnused tells whether the record has not been used for longer than the duration.
func (record *Record) isUnused(duration time.Duration) bool {
	record.mutex.Lock()
	defer record.mutex.Unlock()

	return time.Since(record.lastUsed) > duration
}
