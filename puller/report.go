package puller

import (
	"cmp"
	"context"
	"slices"
	"time"

	"limpetrail/messenger"
)

const (
	// maxReported bounds the items of one report.
	maxReported = 256
	// maxReportBytes bounds the results of one report.
	maxReportBytes = 8 << 20
)

// report sends results, and signs of life of running items, until the context
// ends.
func (puller *Puller) report(ctx context.Context) {
	heartbeat := time.NewTicker(puller.Settings.Heartbeat)
	defer heartbeat.Stop()

	for {
		select {
		case <-puller.wake:
			// Results that come at nearly the same time travel together.
			select {
			case <-time.After(puller.Settings.ReportInterval):
			case <-ctx.Done():
				return
			}

			puller.send(ctx, false)
		case <-heartbeat.C:
			puller.send(ctx, true)
		case <-ctx.Done():
			return
		}
	}
}

// flush tries to hand over the last results before the process ends.
func (puller *Puller) flush(ctx context.Context) {
	deadline := time.Now().Add(puller.Settings.CallLimit)

	for time.Now().Before(deadline) {
		puller.send(ctx, false)

		puller.mutex.Lock()
		left := len(puller.works)
		puller.mutex.Unlock()

		if left == 0 {
			return
		}

		time.Sleep(puller.Settings.ReportInterval)
	}

	puller.Log.Warn("Results are left that no entry took; their items run again.")
}

// send reports to each entry what concerns it.
func (puller *Puller) send(ctx context.Context, heartbeat bool) {
	for entry, works := range puller.due(heartbeat) {
		for chunk := range slices.Chunk(works, maxReported) {
			for len(chunk) > 0 {
				part := cut(chunk)
				chunk = chunk[len(part):]
				puller.sendTo(ctx, entry, part)
			}
		}
	}
}

// cut returns the leading works whose results fit one report, at least one.
func cut(works []*work) []*work {
	bytes := 0

	for position, work := range works {
		bytes += len(work.result.GetBody())
		if position > 0 && bytes > maxReportBytes {
			return works[:position]
		}
	}

	return works
}

// due returns the works to report, by entry: those with a result and, on a
// heartbeat, the running ones. Results that nobody took for long are dropped.
func (puller *Puller) due(heartbeat bool) map[Entry][]*work {
	puller.mutex.Lock()
	defer puller.mutex.Unlock()

	now := time.Now()
	due := map[Entry][]*work{}

	for name, work := range puller.works {
		if work.result != nil && now.Sub(work.finished) > puller.Settings.Keep {
			delete(puller.works, name)

			continue
		}

		if now.Before(work.notBefore) || (work.result == nil && !heartbeat) {
			continue
		}

		due[work.entry] = append(due[work.entry], work)
	}

	for _, works := range due {
		slices.SortFunc(works, func(left, right *work) int {
			return cmp.Or(cmp.Compare(left.key.jobID, right.key.jobID), cmp.Compare(left.key.index, right.key.index))
		})
	}

	return due
}

func (puller *Puller) sendTo(ctx context.Context, entry Entry, works []*work) {
	request := &messenger.CompleteRequest{Clock: uint64(puller.Recorder.Clock.Now()), Instance: puller.Instance}
	// An item may finish while it is reported as running.
	results := map[*work]bool{}

	puller.mutex.Lock()
	for _, work := range works {
		if work.result == nil {
			request.Running = append(request.Running, &messenger.ItemKey{JobId: work.key.jobID, Index: work.key.index})

			continue
		}

		request.Results = append(request.Results, work.result)
		results[work] = true
	}
	puller.mutex.Unlock()

	call, cancel := context.WithTimeout(ctx, puller.Settings.CallLimit)
	defer cancel()

	reply, err := puller.Jobs.Complete(call, entry, request)
	entries := puller.Entries()

	puller.mutex.Lock()
	defer puller.mutex.Unlock()

	for _, work := range works {
		switch {
		case err != nil || slices.Contains(reply.GetUnknownJobIds(), work.key.jobID):
			puller.redirect(work, entries)
		case results[work]:
			delete(puller.works, work.key)
		case slices.Contains(reply.GetCancelledJobIds(), work.key.jobID):
			puller.stop(work)
		}
	}
}

// redirect sends the next report of a work to another entry, which may own the
// job by now, with the mutex held.
func (puller *Puller) redirect(work *work, entries []Entry) {
	work.refused++

	if len(entries) == 0 {
		return
	}

	position := slices.Index(entries, work.entry)
	work.entry = entries[(position+1)%len(entries)]

	// All entries are asked once before the first pause.
	if work.refused%len(entries) == 0 {
		rounds := work.refused / len(entries)
		work.notBefore = time.Now().Add(min(time.Duration(rounds)*time.Second, puller.Settings.BackoffMost))
	}

	select {
	case puller.wake <- struct{}{}:
	default:
	}
}

// stop ends an item of a cancelled job, with the mutex held. One that waits to
// run alone never starts.
func (puller *Puller) stop(work *work) {
	if puller.alone == work && !work.launched {
		puller.alone = nil
		delete(puller.works, work.key)

		return
	}

	if work.stop != nil && work.result == nil {
		work.cancelled = true
		work.stop()
	}
}
