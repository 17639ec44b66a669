package librarian

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"limpetrail/bookkeeper"
)

// ResultsPage is a page of a job's results, with the total number of items and the
// position from which the next page is read.
type ResultsPage struct {
	Total   int
	Next    int
	Results []bookkeeper.Result
}

// Inquirer asks other processes for the results of jobs that they own.
type Inquirer interface {
	// AskOwner returns the results that the process has committed for a job, starting at a
	// position. It waits for a result if there is none yet. It returns false if the
	// process does not answer or may not know all results.
	AskOwner(ctx context.Context, process, job string, after int, wait time.Duration) (ResultsPage, bool)
}

const (
	// pollInterval is how often a waiting reader reads the results of a job from the
	// key-value service if the owner cannot be asked. Each read is one call.
	pollInterval = 800 * time.Millisecond
	// maxReadAge is how old such a read may be for a reader to reuse it. It is short
	// because a result that one gateway has returned must be returned by all gateways
	// within a second.
	maxReadAge = 400 * time.Millisecond
	// readFailureLogInterval is the minimum time between log lines about failed reads.
	readFailureLogInterval = time.Second
)

// Read returns the results starting at a position. It waits for one if there is none yet.
func (librarian *Librarian) Read(ctx context.Context, id string, after int, wait time.Duration) (ResultsPage, bookkeeper.Outcome) {
	record, outcome := librarian.Find(ctx, id)
	if outcome != bookkeeper.OK {
		return ResultsPage{}, outcome
	}

	deadline := time.Now().Add(wait)

	for {
		if page, complete := librarian.readFromMemory(ctx, record, after, deadline); complete {
			return page, bookkeeper.OK
		}

		if err := record.Refresh(ctx, librarian.Ledger, maxReadAge); err != nil {
			if readers := librarian.readFailureLog.CountEvent(); readers > 0 {
				librarian.Log.WithFields(logrus.Fields{"JobID": id, "Readers": readers, "Error": err}).Info("Results of a job could not be read from the key-value service.")
			}

			return ResultsPage{}, bookkeeper.NotDone
		}

		results, total, changed := record.Page(after)

		remaining := time.Until(deadline)
		if len(results) > 0 || remaining <= 0 || ctx.Err() != nil {
			return ResultsPage{Total: total, Next: after + len(results), Results: results}, bookkeeper.OK
		}

		select {
		case <-changed:
		case <-time.After(min(remaining, pollInterval)):
		case <-ctx.Done():
		}
	}
}

// readFromMemory reads results from the record in this process or at the job's owner,
// without the key-value service. It returns false if neither certainly has all results.
func (librarian *Librarian) readFromMemory(ctx context.Context, record *Record, after int, deadline time.Time) (ResultsPage, bool) {
	if page, complete := librarian.readLocal(ctx, record, after, deadline); complete {
		return page, true
	}

	owner := record.Head().Owner
	if librarian.Inquirer == nil || owner == "" || owner == librarian.ProcessID {
		return ResultsPage{}, false
	}

	return librarian.Inquirer.AskOwner(ctx, owner, record.ID, after, max(0, time.Until(deadline)))
}

// ReadForPeer returns the results starting at a position, for another process. It
// returns false if there may be results that this process does not know.
func (librarian *Librarian) ReadForPeer(ctx context.Context, id string, after int, wait time.Duration) (ResultsPage, bool) {
	record := librarian.peek(id)
	if record == nil {
		return ResultsPage{}, false
	}

	return librarian.readLocal(ctx, record, after, time.Now().Add(wait))
}

// readLocal returns the results in the record starting at a position, and waits for one
// if there is none yet. It returns false if there may be results that are not in the
// record. Results in the record are returned in any case: committed results never
// change, whichever process owns the job.
func (librarian *Librarian) readLocal(ctx context.Context, record *Record, after int, deadline time.Time) (ResultsPage, bool) {
	for {
		results, total, changed := record.Page(after)
		remaining := time.Until(deadline)

		switch {
		case len(results) > 0:
			return ResultsPage{Total: total, Next: after + len(results), Results: results}, true
		case !librarian.isAuthoritative(record):
			return ResultsPage{}, false
		case remaining <= 0 || ctx.Err() != nil || record.IsComplete():
			return ResultsPage{Total: total, Next: after}, true
		}

		select {
		case <-changed:
		case <-time.After(remaining):
		case <-ctx.Done():
		}
	}
}

// isAuthoritative tells whether the record certainly holds all committed results.
func (librarian *Librarian) isAuthoritative(record *Record) bool {
	return record.IsComplete() || librarian.IsSoleWriter(record.ID)
}
