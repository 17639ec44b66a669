package puller

import (
	"cmp"
	"context"
	"slices"
	"time"

	"limpetrail/messenger"
)

const (
	// maxReportItems bounds the items in one report.
	maxReportItems = 256
	// maxReportBytes bounds the size of the results in one report.
	maxReportBytes = 8 << 20
)

// runReports sends results, and heartbeats of running items, until the context ends.
func (puller *Puller) runReports(ctx context.Context) {
	heartbeat := time.NewTicker(puller.Settings.Heartbeat)
	defer heartbeat.Stop()

	for {
		select {
		case <-puller.wake:
			// Waits briefly to combine results that arrive at nearly the same time.
			select {
			case <-time.After(puller.Settings.ReportInterval):
			case <-ctx.Done():
				return
			}

			puller.sendReports(ctx, false)
		case <-heartbeat.C:
			puller.sendReports(ctx, true)
		case <-ctx.Done():
			return
		}
	}
}

// flushResults tries to report the remaining results before the process ends.
func (puller *Puller) flushResults(ctx context.Context) {
	deadline := time.Now().Add(puller.Settings.CallLimit)

	for time.Now().Before(deadline) {
		puller.sendReports(ctx, false)

		puller.mutex.Lock()
		remaining := len(puller.pulledItems)
		puller.mutex.Unlock()

		if remaining == 0 {
			return
		}

		time.Sleep(puller.Settings.ReportInterval)
	}

	puller.Log.Warn("No entry accepted the remaining results of batch items before shutdown; the items will run again.")
}

// sendReports sends each entry the results of its items and, with heartbeat set,
// which of its items run.
func (puller *Puller) sendReports(ctx context.Context, heartbeat bool) {
	for entry, items := range puller.itemsToReport(heartbeat) {
		for len(items) > 0 {
			report := puller.buildReport(items)
			items = items[len(report.items):]
			puller.sendReport(ctx, entry, report)
		}
	}
}

// report is one call to an entry.
type report struct {
	items   []*pulledItem
	request *messenger.CompleteRequest
	// finished holds the items whose result is in the request: an item may finish
	// while it is reported as running, and must then be reported again.
	finished map[*pulledItem]bool
}

// buildReport returns a report of as many leading items as fit one, at least one. The
// items run meanwhile, so their results are read once, with the mutex held.
func (puller *Puller) buildReport(items []*pulledItem) report {
	built := report{
		request:  &messenger.CompleteRequest{Clock: uint64(puller.Recorder.Clock.Now()), Instance: puller.Instance},
		finished: map[*pulledItem]bool{},
	}
	bytes := 0

	puller.mutex.Lock()
	defer puller.mutex.Unlock()

	for position, pulled := range items[:min(len(items), maxReportItems)] {
		bytes += len(pulled.result.GetBody())
		if position > 0 && bytes > maxReportBytes {
			break
		}

		built.items = append(built.items, pulled)

		if pulled.result == nil {
			built.request.Running = append(built.request.Running, &messenger.ItemKey{JobId: pulled.key.jobID, Index: pulled.key.index})

			continue
		}

		built.request.Results = append(built.request.Results, pulled.result)
		built.finished[pulled] = true
	}

	return built
}

// itemsToReport returns the items to report, by entry: those with a result and, on
// a heartbeat, the running ones. It drops results that no entry accepted within
// Settings.Keep.
func (puller *Puller) itemsToReport(heartbeat bool) map[Entry][]*pulledItem {
	puller.mutex.Lock()
	defer puller.mutex.Unlock()

	now := time.Now()
	byEntry := map[Entry][]*pulledItem{}

	for id, pulled := range puller.pulledItems {
		if pulled.result != nil && now.Sub(pulled.finishedAt) > puller.Settings.Keep {
			delete(puller.pulledItems, id)

			continue
		}

		if now.Before(pulled.nextReportAt) || (pulled.result == nil && !heartbeat) {
			continue
		}

		byEntry[pulled.entry] = append(byEntry[pulled.entry], pulled)
	}

	for _, items := range byEntry {
		slices.SortFunc(items, func(left, right *pulledItem) int {
			return cmp.Or(cmp.Compare(left.key.jobID, right.key.jobID), cmp.Compare(left.key.index, right.key.index))
		})
	}

	return byEntry
}

func (puller *Puller) sendReport(ctx context.Context, entry Entry, sent report) {
	callContext, cancel := context.WithTimeout(ctx, puller.Settings.CallLimit)
	defer cancel()

	reply, err := puller.EntryClient.Complete(callContext, entry, sent.request)
	entries := puller.Entries()

	puller.mutex.Lock()
	defer puller.mutex.Unlock()

	for _, pulled := range sent.items {
		switch {
		case err != nil || slices.Contains(reply.GetUnknownJobIds(), pulled.key.jobID):
			puller.redirectReport(pulled, entries)
		case sent.finished[pulled]:
			delete(puller.pulledItems, pulled.key)
		case slices.Contains(reply.GetCancelledJobIds(), pulled.key.jobID):
			puller.cancelItem(pulled)
		}
	}
}

// redirectReport sends the next report of an item to another entry, which may own
// the job by now, with the mutex held.
func (puller *Puller) redirectReport(pulled *pulledItem, entries []Entry) {
	pulled.rejectedReports++

	if len(entries) == 0 {
		return
	}

	position := slices.Index(entries, pulled.entry)
	pulled.entry = entries[(position+1)%len(entries)]

	// Each entry is tried once before a pause.
	if pulled.rejectedReports%len(entries) == 0 {
		rounds := pulled.rejectedReports / len(entries)
		pulled.nextReportAt = time.Now().Add(min(time.Duration(rounds)*time.Second, puller.Settings.BackoffMost))
	}

	select {
	case puller.wake <- struct{}{}:
	default:
	}
}

// cancelItem stops an item of a cancelled job, with the mutex held. An exclusive
// item that has not started is removed.
func (puller *Puller) cancelItem(pulled *pulledItem) {
	if puller.exclusiveItem == pulled && !pulled.started {
		puller.exclusiveItem = nil
		delete(puller.pulledItems, pulled.key)

		return
	}

	if pulled.cancel != nil && pulled.result == nil {
		pulled.cancelled = true
		pulled.cancel()
	}
}
