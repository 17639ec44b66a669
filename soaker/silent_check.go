package soaker

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/deployer"
	"limpetrail/emulator"
	"limpetrail/kernel"
)

// submit submits jobs to servers that fall silent.
func (play *SilentPlay) submit(ctx context.Context, number int) {
	for index := 0; kernel.Pause(ctx, submitInterval); index++ {
		caller := deployer.NewCaller(play.Gateways[gatewayName(play.random.intN(gatewayCount))])
		id := fmt.Sprintf("j-%d-%d", number, index)

		if caller.SubmitJob(ctx, "/batch/", id, itemsPerJob) == http.StatusAccepted {
			play.history.RecordAcceptedJob(id, itemsPerJob)
		}
	}
}

// checkJobs checks that all items of accepted jobs are complete, and counts their whole runs.
func (play *SilentPlay) checkJobs(ctx context.Context) {
	caller := deployer.NewCaller(play.Gateways[gatewayName(0)])

	for job, items := range play.history.acceptedItems {
		results := []deployer.Result{}

		if !waitForRecovery(ctx, func() bool {
			results = play.readAll(ctx, caller, job)

			return len(results) >= items
		}) {
			play.T.Logf("job %s in the store: %q", job, play.keysOf(ctx, job))
			play.violate("jobs incomplete", "LOST: %d of %d results of job %s", len(results), items, job)
		}

		for _, result := range results {
			if result.State != "completed" || !deployer.IsCompleteOutput(result.Output) {
				play.violate("items incomplete", "MIXED: item %s is %s: %q", result.ID, result.State, result.Output)
			}

			play.count("items")
		}
	}

	for _, server := range play.Servers {
		for _, run := range server.Runs() {
			if run.RequestID != "" && run.After < 0 {
				play.count("runs of items from the start")
			}
		}
	}
}

// readAll reads all results of a job.
func (play *SilentPlay) readAll(ctx context.Context, caller deployer.Caller, job string) []deployer.Result {
	all := []deployer.Result{}

	for {
		_, results := caller.ReadResults(ctx, job, len(all))
		if len(results) == 0 {
			return all
		}

		all = append(all, results...)
	}
}

// keysOf returns the store's entries of a job.
func (play *SilentPlay) keysOf(ctx context.Context, job string) []string {
	page, err := play.Store.Catalog.NewClient().Range(ctx, "limpetrail/jobs/", "", false)
	require.NoError(play.T, err)

	entries := []string{}

	for _, item := range page.Items {
		if strings.Contains(item.Key, job) {
			entries = append(entries, item.Key+" = "+string(item.Value))
		}
	}

	return entries
}

// closedConn is a request whose connection was closed without an answer, and how long callers might leave a
// connection idle then.
type closedConn struct {
	id     string
	answer keptAnswer
	usable time.Duration
}

// checkClosed checks that no connection was closed that had been idle for no longer than callers may leave it,
// or whose request ran. Its caller may stand still between the end of an answer and its clock, or between
// its clock and a write; the times at the servers and after the write bound that.
func (play *SilentPlay) checkClosed(runs map[string][]emulator.ServerRun) {
	for _, closed := range play.closed {
		ended := closed.answer.BeforeBegan

		for _, run := range runs[closed.answer.BeforeID] {
			if run.Whole {
				ended = run.End
			}
		}

		idle := closed.answer.Sent.Sub(ended)
		play.T.Logf("%s: idle for %s by the caller's clock, for %s at most, of %s", closed.id, closed.answer.Idle, idle, closed.usable)

		if idle > closed.usable && len(runs[closed.id]) == 0 {
			play.count("connections closed that were idle for too long")

			continue
		}

		play.violate("idle connections closed", "LOST: %s met the close of its connection after at most %s of idleness, of %s: %v", closed.id, idle, closed.usable, closed.answer.Err)
	}
}

// checkRuns checks the runs of streams and of requests that may run once.
func (play *SilentPlay) checkRuns() {
	runs := map[string][]emulator.ServerRun{}

	for _, server := range play.servers {
		for _, run := range server.Runs() {
			runs[run.RequestID] = append(runs[run.RequestID], run)
		}
	}

	// Health checks have no ID.
	delete(runs, "")

	play.checkClosed(runs)

	for _, id := range play.history.refused {
		if len(runs[id]) > 0 && !isIdempotent(id) {
			play.violate("refused after a run", "REFUSED: %s ran although its answer said that it has not", id)
		}
	}

	for id, all := range runs {
		slices.SortFunc(all, func(a, b emulator.ServerRun) int { return a.Begin.Compare(b.Begin) })

		if id[0] == 'w' {
			if len(all) > 1 && !isIdempotent(id) {
				play.violate("TWICE", "TWICE: %s ran %d times", id, len(all))
			}

			continue
		}

		for index, run := range all[1:] {
			play.checkMove(all[index], run)
		}
	}
}

// isIdempotent reports whether a request of a caller was sent to /plain/: a whole one of an odd caller.
func isIdempotent(id string) bool {
	number := 0
	count, _ := fmt.Sscanf(id, "w-%d-", &number)

	return count == 1 && number%2 == 1
}

// checkMove checks that a run ended soon after the stream went on elsewhere.
func (play *SilentPlay) checkMove(before, after emulator.ServerRun) {
	play.count("streams tried again")

	if after.FirstEvent.IsZero() {
		return
	}

	end := before.End
	if end.IsZero() {
		end = time.Now()
	}

	if cmp.Compare(end.Sub(after.FirstEvent), movedWork) > 0 && !after.End.Before(end) {
		play.violate("TWICE", "TWICE: %s ran at %s until %s after it went on at %s", before.RequestID, before.ServerID, end.Sub(after.FirstEvent), after.ServerID)
	}
}
