package batcher

import (
	"context"
	"sync"
	"time"

	"limpetrail/bookkeeper"
)

// record is what this process knows of a job.
type record struct {
	id string

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

func newRecord(id string) *record {
	return &record{id: id, grown: make(chan struct{}), used: time.Now()}
}

// page returns the results from a position on, at least one if there is one,
// and at most about maxPage bytes.
func (record *record) page(after int) ([]bookkeeper.Result, int, <-chan struct{}) {
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

// complete tells whether all results are known, so that none will come.
func (record *record) complete() bool {
	record.mutex.Lock()
	defer record.mutex.Unlock()

	return record.head.Total > 0 && len(record.results) == record.head.Total
}

// setHead takes in a head unless it is older than the known one.
func (record *record) setHead(head bookkeeper.Version) {
	record.mutex.Lock()
	defer record.mutex.Unlock()

	if head.Revision <= record.head.Revision {
		return
	}

	record.head = head
	record.wake()
}

// add takes in segments that follow the known ones.
func (record *record) add(from int, segments []bookkeeper.Segment) {
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
func (record *record) wake() {
	close(record.grown)
	record.grown = make(chan struct{})
}

func (record *record) known() bookkeeper.Version {
	record.mutex.Lock()
	defer record.mutex.Unlock()

	return record.head
}

// refresh reads the segments that are new since the last read, unless that
// began within the age.
func (record *record) refresh(ctx context.Context, ledger bookkeeper.Ledger, age time.Duration) error {
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

	segments, err := ledger.Results(ctx, record.id, from)
	if err != nil {
		return err
	}

	record.add(from, segments)
	record.readAt = begun

	return nil
}

// load reads the items once.
func (record *record) load(ctx context.Context, ledger bookkeeper.Ledger) ([]bookkeeper.Item, error) {
	record.reading.Lock()
	defer record.reading.Unlock()

	record.mutex.Lock()
	items := record.items
	record.mutex.Unlock()

	if items != nil {
		return items, nil
	}

	items, err := ledger.Items(ctx, record.id)
	if err != nil {
		return nil, err
	}

	record.mutex.Lock()
	defer record.mutex.Unlock()

	record.items = items

	return items, nil
}
