package librarian

import (
	"context"
	"sync"
	"time"

	"limpetrail/bookkeeper"
)

// Record is what this process knows of a job.
type Record struct {
	ID string

	mutex sync.Mutex
	head  bookkeeper.Version
	// items is nil until they are read.
	items []bookkeeper.Item
	// results are the listed ones, in their positions without a gap.
	results []bookkeeper.Result
	// segments is how many segments the results came in.
	segments int
	// grown is closed and replaced when results come or the head changes.
	grown chan struct{}
	// used is when the record was last asked for.
	used time.Time
	// reading serialises reads of the service, so that readers share one.
	reading sync.Mutex
	// readAt is when the last complete read began.
	readAt time.Time
}

func newRecord(id string) *Record {
	return &Record{ID: id, grown: make(chan struct{}), used: time.Now()}
}

// Page returns the results from a position on, at least one if there is one,
// and at most about maxPage bytes.
func (record *Record) Page(after int) ([]bookkeeper.Result, int, <-chan struct{}) {
	record.mutex.Lock()
	defer record.mutex.Unlock()

	record.used = time.Now()

	if after >= len(record.results) {
		return nil, record.head.Total, record.grown
	}

	size, end := 0, after
	for end < len(record.results) && (end == after || size+len(record.results[end].Output) <= maxPage) {
		size += len(record.results[end].Output)
		end++
	}

	return record.results[after:end:end], record.head.Total, record.grown
}

// maxPage leaves room for names and escapes in an answer of 1 MB.
const maxPage = 600 << 10

// Complete tells whether all results are known, so that none will come.
func (record *Record) Complete() bool {
	record.mutex.Lock()
	defer record.mutex.Unlock()

	return record.head.Total > 0 && len(record.results) == record.head.Total
}

// SetHead takes in a head unless it is older than the known one.
func (record *Record) SetHead(head bookkeeper.Version) {
	record.mutex.Lock()
	defer record.mutex.Unlock()

	if head.Revision <= record.head.Revision {
		return
	}

	record.head = head
	record.wake()
}

// Add takes in segments that follow the known ones.
func (record *Record) Add(from int, segments []bookkeeper.Segment) {
	record.mutex.Lock()
	defer record.mutex.Unlock()

	for index, read := range segments {
		if from+index != record.segments || read.First != len(record.results) {
			continue
		}

		record.results = append(record.results, read.Results...)
		record.segments++
	}

	record.wake()
}

// wake tells readers to look again, with the mutex held.
func (record *Record) wake() {
	close(record.grown)
	record.grown = make(chan struct{})
}

// Head returns the newest head that is known; its revision is 0 before the first.
func (record *Record) Head() bookkeeper.Version {
	record.mutex.Lock()
	defer record.mutex.Unlock()

	return record.head
}

// Refresh reads the segments that are new since the last read, unless that
// began within the age.
func (record *Record) Refresh(ctx context.Context, ledger bookkeeper.Ledger, age time.Duration) error {
	asked := time.Now()

	record.reading.Lock()
	defer record.reading.Unlock()

	if record.readAt.After(asked.Add(-age)) {
		return nil
	}

	record.mutex.Lock()
	from := record.segments
	record.mutex.Unlock()

	begun := time.Now()

	segments, err := ledger.Results(ctx, record.ID, from)
	if err != nil {
		return err
	}

	record.Add(from, segments)
	record.readAt = begun

	return nil
}

// Load reads the items once.
func (record *Record) Load(ctx context.Context, ledger bookkeeper.Ledger) ([]bookkeeper.Item, error) {
	record.reading.Lock()
	defer record.reading.Unlock()

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

// Offer gives the items of a job that came here, so that they need not be read.
func (record *Record) Offer(items []bookkeeper.Item) {
	record.mutex.Lock()
	defer record.mutex.Unlock()

	if record.items == nil {
		record.items = items
	}
}

// Unlisted returns the items that have no result yet.
func (record *Record) Unlisted() []bookkeeper.Item {
	listed := record.Listed()

	record.mutex.Lock()
	defer record.mutex.Unlock()

	found := []bookkeeper.Item{}

	for _, item := range record.items {
		if !listed[item.ID] {
			found = append(found, item)
		}
	}

	return found
}

// Listed returns the items that have a result, by ID.
func (record *Record) Listed() map[string]bool {
	record.mutex.Lock()
	defer record.mutex.Unlock()

	listed := map[string]bool{}
	for _, result := range record.results {
		listed[result.ID] = true
	}

	return listed
}

// End is where the next segment of a job goes.
type End struct {
	Head bookkeeper.Version
	// Segment is its number, and Position that of its first result.
	Segment  int
	Position int
}

// End returns where the next segment goes, as far as is known here.
func (record *Record) End() End {
	record.mutex.Lock()
	defer record.mutex.Unlock()

	return End{Head: record.head, Segment: record.segments, Position: len(record.results)}
}

// unused tells whether nobody has asked for the record for a time.
func (record *Record) unused(duration time.Duration) bool {
	record.mutex.Lock()
	defer record.mutex.Unlock()

	return time.Since(record.used) > duration
}
