package librarian

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"limpetrail/bookkeeper"
)

// Reading is a part of a job's results.
type Reading struct {
	Total   int
	Next    int
	Results []bookkeeper.Result
}

// Inquirer asks other processes for results of the jobs that they own.
type Inquirer interface {
	// Ask returns what the process has listed of a job from a position on. It
	// waits for a result if there is none yet. It returns false without an answer
	// that is certain.
	Ask(ctx context.Context, process, job string, after int, wait time.Duration) (Reading, bool)
}

const (
	// pollInterval is how often results of a job whose owner cannot be asked are
	// read for a waiting reader. A read costs a call.
	pollInterval = 800 * time.Millisecond
	// readAge is how old such a read may be when nothing new is answered: what
	// one gateway has shown, all show within a second.
	readAge = 400 * time.Millisecond
	// unreadInterval bounds the lines about readers who get nothing.
	unreadInterval = time.Second
)

// Read returns the results from a position on. It waits for one if there is
// none yet.
func (librarian *Librarian) Read(ctx context.Context, id string, after int, wait time.Duration) (Reading, bookkeeper.Outcome) {
	record, outcome := librarian.Find(ctx, id)
	if outcome != bookkeeper.OK {
		return Reading{}, outcome
	}

	until := time.Now().Add(wait)

	for {
		if reading, certain := librarian.readCertain(ctx, record, after, until); certain {
			return reading, bookkeeper.OK
		}

		if err := record.Refresh(ctx, librarian.Ledger, readAge); err != nil {
			if readers := librarian.unread.Take(); readers > 0 {
				librarian.Log.WithFields(logrus.Fields{"JobID": id, "Readers": readers, "Error": err}).Info("Results cannot be read.")
			}

			return Reading{}, bookkeeper.NotDone
		}

		results, total, grown := record.Page(after)

		left := time.Until(until)
		if len(results) > 0 || left <= 0 || ctx.Err() != nil {
			return Reading{Total: total, Next: after + len(results), Results: results}, bookkeeper.OK
		}

		select {
		case <-grown:
		case <-time.After(min(left, pollInterval)):
		case <-ctx.Done():
		}
	}
}

// readCertain reads a job from memory, here or at its owner.
func (librarian *Librarian) readCertain(ctx context.Context, record *Record, after int, until time.Time) (Reading, bool) {
	if reading, certain := librarian.readRecord(ctx, record, after, until); certain {
		return reading, true
	}

	owner := record.Head().Owner
	if librarian.Inquirer == nil || owner == "" || owner == librarian.Process {
		return Reading{}, false
	}

	return librarian.Inquirer.Ask(ctx, owner, record.ID, after, max(0, time.Until(until)))
}

// ReadOwned returns the results from a position on, for another process. It
// returns false if this process is not certain that there are no others.
func (librarian *Librarian) ReadOwned(ctx context.Context, id string, after int, wait time.Duration) (Reading, bool) {
	record := librarian.peek(id)
	if record == nil {
		return Reading{}, false
	}

	return librarian.readRecord(ctx, record, after, time.Now().Add(wait))
}

// readRecord returns the results from a position on as they are known here, and
// waits for one if there is none yet. It returns false if there may be others
// that are not known here. What is listed stays, whoever owns the job.
func (librarian *Librarian) readRecord(ctx context.Context, record *Record, after int, until time.Time) (Reading, bool) {
	for {
		results, total, grown := record.Page(after)
		left := time.Until(until)

		switch {
		case len(results) > 0:
			return Reading{Total: total, Next: after + len(results), Results: results}, true
		case !librarian.authoritative(record):
			return Reading{}, false
		case left <= 0 || ctx.Err() != nil || record.Complete():
			return Reading{Total: total, Next: after}, true
		}

		select {
		case <-grown:
		case <-time.After(left):
		case <-ctx.Done():
		}
	}
}

// authoritative tells whether no other process can list results of the job.
func (librarian *Librarian) authoritative(record *Record) bool {
	return record.Complete() || librarian.Owns(record.ID)
}
